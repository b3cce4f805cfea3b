package io.coriandermux.http;

import java.net.URI;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * An HTTP request with a text body.
 *
 * @param method the method
 * @param uri the URI with path and query
 * @param headers additional headers
 * @param body the body, empty for none
 */
public record HttpRequest(String method, URI uri, Map<String, String> headers, String body) {

	/**
	 * Creates a request without additional headers.
	 * @param method the method
	 * @param uri the URI with path and query
	 * @param body the body, empty for none
	 */
	public HttpRequest(String method, URI uri, String body) {
		this(method, uri, Map.of(), body);
	}

	/**
	 * Returns a copy of this request with an additional header.
	 * @param name the name of the header
	 * @param value the value of the header
	 * @return the copy
	 */
	public HttpRequest withHeader(String name, String value) {
		Map<String, String> extended = new LinkedHashMap<>(this.headers);
		extended.put(name, value);
		return new HttpRequest(this.method, this.uri, extended, this.body);
	}

	/**
	 * Returns the request target in origin form: the path, and the query if there is one.
	 * @return the request target
	 */
	String target() {
		String path = this.uri.getRawPath().isEmpty() ? "/" : this.uri.getRawPath();
		return (this.uri.getRawQuery() != null) ? path + "?" + this.uri.getRawQuery() : path;
	}

}
