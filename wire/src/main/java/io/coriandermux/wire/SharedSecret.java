package io.coriandermux.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Secret that all processes of an installation share and by which they authenticate each
 * other. It is never written to any output.
 */
public final class SharedSecret {

	private static final String ALGORITHM = "HmacSHA256";

	private final SecretKeySpec key;

	/**
	 * Creates the secret.
	 * @param text text of the secret, not empty
	 */
	public SharedSecret(String text) {
		this.key = new SecretKeySpec(text.getBytes(StandardCharsets.UTF_8), ALGORITHM);
	}

	byte[] computeMac(byte[] data) throws CodecException {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.key);
			return mac.doFinal(data);
		}
		catch (GeneralSecurityException ex) {
			throw new CodecException(ALGORITHM + " is not available", ex);
		}
	}

	boolean isValidMac(byte[] data, byte[] proof) throws CodecException {
		return MessageDigest.isEqual(computeMac(data), proof);
	}

}
