package io.coriandermux.proof.check;

import java.util.LinkedHashMap;
import java.util.Map;

import io.coriandermux.core.api.CallerRequest;
import io.coriandermux.core.api.CancelJob;
import io.coriandermux.core.api.FetchJob;
import io.coriandermux.core.api.SubmitJob;
import io.coriandermux.core.id.JobKey;
import io.coriandermux.proof.journal.Journal;
import io.coriandermux.proof.journal.RequestSent;

/**
 * Index of the requests of a run by request number, and of submissions by job.
 */
final class Calls {

	private final Map<Long, RequestSent> requests = new LinkedHashMap<>();

	private final Map<JobKey, SubmitJob> submissions = new LinkedHashMap<>();

	Calls(Journal journal) {
		journal.ofType(RequestSent.class).forEach((sent) -> {
			this.requests.put(sent.requestNumber(), sent);
			if (sent.request() instanceof SubmitJob submit) {
				this.submissions.putIfAbsent(jobKey(submit), submit);
			}
		});
	}

	// Returns the request with a number, or null if there is none.
	RequestSent request(long requestNumber) {
		return this.requests.get(requestNumber);
	}

	// Returns the job of the request with a number, or null if it refers to none.
	JobKey jobKey(long requestNumber) {
		RequestSent sent = this.requests.get(requestNumber);
		return (sent != null) ? jobKey(sent.request()) : null;
	}

	// Returns the first submission of a job, or null if there is none.
	SubmitJob submission(JobKey job) {
		return this.submissions.get(job);
	}

	Map<JobKey, SubmitJob> submissions() {
		return this.submissions;
	}

	static JobKey jobKey(CallerRequest request) {
		if (request instanceof SubmitJob submit) {
			return new JobKey(submit.owner(), submit.job().text());
		}
		if (request instanceof FetchJob fetch) {
			return new JobKey(fetch.owner(), fetch.job().text());
		}
		if (request instanceof CancelJob cancel) {
			return new JobKey(cancel.owner(), cancel.job().text());
		}
		return null;
	}

}
