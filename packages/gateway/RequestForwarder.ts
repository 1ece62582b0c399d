import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { FailureTimes } from "./FailureTimes";
import { RequestAdmission } from "./RequestAdmission";
import { ResponseWriter } from "./ResponseWriter";
import type { RoutedRequest } from "./RoutedRequest";
import type { Attempt } from "./Attempt";
import type { AttemptListener } from "./AttemptListener";
import { AttemptOutcome } from "./AttemptOutcome";
import { CallFailure } from "./CallFailure";
import type { EventRelay } from "./EventRelay";
import { FallbackResponse } from "./FallbackResponse";
import type { FailedAttempt } from "./FailedAttempt";
import type { FullResponse } from "./FullResponse";
import type { GatewayContext } from "./GatewayContext";
import type { GroupRecovery } from "./GroupRecovery";
import { GatewayHandler } from "./GatewayHandler";
import { NextStep } from "./NextStep";
import { AttemptRetryReason } from "./AttemptRetryReason";
import type { RelayedEvent } from "./RelayedEvent";
import type { RequestCauses } from "./RequestCauses";
import { RequestOutcome } from "./RequestOutcome";
import { RequestLog } from "./RequestLog";
import { createAttempt } from "./createAttempt";
import { createEventRelay } from "./createEventRelay";
import { decideNextStep } from "./decideNextStep";
import { getPartKeys } from "./getPartKeys";
import { getRequestKey } from "./getRequestKey";
import { isRetryable } from "./isRetryable";
import { retryReasons } from "./retryReasons";
import { sendFailure } from "./sendFailure";
import { takeRetry } from "./takeRetry";

/** Sends without a connection that do not count as attempts. */
const maxUnsent = 4;
/** Time that a retry waits for a permit at most; an answer that has begun must not pause for longer. */
const maxRetryWaitMs = 500;

/** Handles one request until its end: chooses targets, retries, and relays the response to the caller. */
export class RequestForwarder {
  readonly #context: GatewayContext;
  readonly #routed: RoutedRequest;
  readonly #writer: ResponseWriter;
  readonly #relay: EventRelay;
  readonly #log: RequestLog;
  readonly #recovery: GroupRecovery | null;
  readonly #endMs: number;
  readonly #admission: RequestAdmission;
  readonly #causes: RequestCauses;
  /** A target's failure response, delivered when no retry brings a better one. */
  readonly #fallback: FallbackResponse;
  readonly #tried = new Set<string>();
  readonly #timer: NodeJS.Timeout;
  readonly #listener: AttemptListener = {
    onFullResponse: (attempt, full) => {
      this.#onFullResponse(attempt, full);
    },
    onStreamStart: (status, headers) => {
      this.#admission.noteAccepted();
      if (!this.#writer.hasStarted) {
        this.#writer.begin(status, headers);
      }
    },
    onEvents: (attempt, events) => this.#onEvents(attempt, events),
    onStreamEnd: (attempt) => {
      this.#onStreamEnd(attempt);
    },
    onNotRun: (attempt, faultyTarget) => {
      this.#onNotRun(attempt, faultyTarget);
    },
    onFailure: (failed) => {
      this.#onFailure(failed);
    },
  };
  /** An exception ends the request: what was sent may have run. */
  readonly #guard = (action: () => void): void => {
    this.#context.errors.run(GatewayHandler.Request, action, () => {
      this.#endBroken();
    });
  };
  #attempt: Attempt | null = null;
  #sends = 0;
  /** Sends that ended before a connection was established, so that no target got the request. */
  #unsent = 0;
  #mayHaveRun = false;
  #isEnded = false;

  constructor(context: GatewayContext, routed: RoutedRequest) {
    const { response, route, caller, arrivedAtMs } = routed;
    this.#context = context;
    this.#routed = routed;
    this.#recovery = context.getGroupRecovery(routed.service);
    this.#causes = {
      request: getRequestKey(routed),
      parts: getPartKeys(routed.caller, routed.service.name),
    };
    this.#fallback = new FallbackResponse(context.byteBudget.responses);
    this.#writer = new ResponseWriter(response, context, () => {
      this.#guard(() => {
        this.#abort();
      });
    });
    this.#relay = createEventRelay(context, routed, {
      writer: this.#writer,
      guard: this.#guard,
      getTargetId: () => this.#attempt?.targetId ?? "",
    });
    this.#log = new RequestLog(context, routed, this.#relay, this.#causes.request);
    this.#endMs = arrivedAtMs + Math.min(route.timeoutMs, caller.leftMs ?? Infinity);
    this.#admission = new RequestAdmission({
      context,
      routed,
      endMs: this.#endMs,
      tried: this.#tried,
      guard: this.#guard,
      countSends: () => this.#sends,
      rejectSuspect: () => this.#isEnded || this.#rejectSuspect(),
      takeRetry: () => this.#takeRetry(AttemptRetryReason.NotRun),
      send: (target) => {
        this.#sendTo(target);
      },
      fail: (end, text, times) => {
        this.#fail(end, text, times);
      },
    });
    this.#timer = setTimeout(
      () => {
        this.#guard(() => {
          this.#onTimeout();
        });
      },
      Math.max(0, this.#endMs - this.#now()),
    );
    response.on("close", () => {
      this.#guard(() => {
        if (!response.writableFinished) {
          this.#end(RequestOutcome.CallerDisconnected, null);
        }
      });
    });
    context.getRetryBudget(routed.service.name).noteRequest(this.#now());
  }

  /** Sends the request to a target, waits for a slot, or rejects it. */
  start(): void {
    this.#guard(() => {
      this.#admission.start();
    });
  }

  /** Ends a request that may crash its target, whether it has just arrived or was waiting. Returns whether it did. */
  #rejectSuspect(): boolean {
    const waitMs = this.#context.crashes.getWaitMs(this.#causes);
    if (waitMs > 0) {
      const text = "the request or a part of it is suspected of crashing targets";
      this.#fail(RequestOutcome.Suspect, text, { retryAfterMs: waitMs });
    }
    return waitMs > 0;
  }

  #sendTo(target: TargetRecord): void {
    const { route } = this.#routed;
    this.#tried.add(target.id);
    this.#sends += 1;
    this.#log.logSend(target, this.#sends, this.#admission.load);
    const input = {
      target,
      watch: this.#context.crashes.begin(target, this.#causes),
      leftMs: this.#endMs - this.#now(),
      resumeAfter: this.#relay.lastEventId,
      isSameTarget: this.#sends > this.#tried.size,
      canRetry: isRetryable(this.#routed.route) && this.#sends < route.attempts,
      guard: this.#guard,
    };
    this.#attempt = createAttempt(this.#context, this.#routed, input, this.#listener);
    this.#attempt.start();
  }

  #onFullResponse(attempt: Attempt, full: FullResponse): void {
    const { health } = this.#context;
    this.#mayHaveRun = true;
    if (full.status < 500) {
      this.#admission.noteAccepted();
      health.noteSuccess(attempt.targetId);
      this.#deliver(full, RequestOutcome.Answered);
      return;
    }
    health.noteFailure(attempt.targetId);
    this.#fallback.keep(full);
    if (!this.#retry(AttemptOutcome.Failed)) {
      this.#deliver(full, RequestOutcome.TargetFailure);
    }
  }

  #onEvents(attempt: Attempt, events: readonly RelayedEvent[]): readonly RelayedEvent[] {
    const newEvents = this.#isEnded ? [] : this.#relay.push(events, attempt);
    this.#mayHaveRun ||= newEvents.length > 0;
    return newEvents;
  }

  #onStreamEnd(attempt: Attempt): void {
    this.#context.health.noteSuccess(attempt.targetId);
    this.#relay.end(() => {
      this.#end(RequestOutcome.Answered, null);
    });
  }

  #onNotRun(attempt: Attempt, faultyTarget: string | null): void {
    const { health } = this.#context;
    if (faultyTarget !== null && faultyTarget !== attempt.targetId) {
      health.noteUnreachable(faultyTarget, this.#now());
    }
    this.#recovery?.noteRejected(this.#now());
    if (this.#isEnded || this.#retry(AttemptOutcome.NotRun)) {
      return;
    }
    if (this.#recovery?.isRecovering === true && !this.#mayHaveRun) {
      // All ranks reject requests until the group has recovered, so the next attempt excludes none of them.
      this.#tried.clear();
      this.#admission.start();
    } else {
      this.#fail(RequestOutcome.Rejected, "targets have turned the request away");
    }
  }

  #onFailure({ attempt, watch, failure, isSent, detail }: FailedAttempt): void {
    const { health, options, metrics } = this.#context;
    const { targetId } = attempt;
    metrics.failedAttempts.add(failure);
    if (failure === CallFailure.NotConnected) {
      health.noteUnreachable(targetId, this.#now());
    } else {
      health.noteFailure(targetId);
    }
    const outcome = isSent ? AttemptOutcome.Unknown : AttemptOutcome.NotSent;
    this.#mayHaveRun ||= isSent;
    this.#unsent += failure === CallFailure.NotConnected ? 1 : 0;
    const id = this.#routed.caller.requestId;
    options.logger.info({ id, target: targetId, failure, detail, isSent }, "attempt failed");
    if (!isSent || failure !== CallFailure.Broken) {
      this.#retryOrFail(outcome, failure);
      return;
    }
    const isWaiting = isRetryable(this.#routed.route) && !this.#writer.hasStarted;
    const { errors, crashes } = this.#context;
    void errors
      .runAsync(GatewayHandler.CrashWatch, () => crashes.examine(watch, isWaiting))
      .then(() => {
        this.#guard(() => {
          this.#retryOrFail(outcome, failure);
        });
      });
  }

  #retryOrFail(outcome: AttemptOutcome, failure: CallFailure): void {
    if (!this.#retry(outcome)) {
      this.#fail(this.#writer.hasStarted ? RequestOutcome.StreamBroken : RequestOutcome.Unknown, failure);
    }
  }

  /** Sends the request again if that is safe, allowed and useful. Returns whether it did, or has ended the request. */
  #retry(outcome: AttemptOutcome): boolean {
    if (!this.#isEnded && this.#rejectSuspect()) {
      return true;
    }
    const step = decideNextStep({
      outcome,
      isRetryable: isRetryable(this.#routed.route),
      mayHaveRun: this.#mayHaveRun,
      attemptsLeft: this.#routed.route.attempts - this.#sends + Math.min(this.#unsent, maxUnsent),
      leftMs: this.#endMs - this.#now(),
    });
    const reason = this.#writer.hasStarted ? AttemptRetryReason.Resume : retryReasons[outcome];
    const isPossible = step === NextStep.Retry && this.#relay.isResumable;
    const target = isPossible ? this.#admission.chooseTarget() : null;
    const limited =
      isPossible && target === null ? this.#admission.permits.listCandidates(maxRetryWaitMs) : [];
    if (this.#isEnded || (target === null && limited.length === 0) || !this.#takeRetry(reason)) {
      return false;
    }
    if (target !== null) {
      this.#sendTo(target);
      return true;
    }
    this.#admission.permits.take(limited, maxRetryWaitMs, () => {
      const end = this.#mayHaveRun ? RequestOutcome.Unknown : RequestOutcome.Rejected;
      this.#fail(end, "no permit for a retry in time");
    });
    return true;
  }

  #takeRetry(reason: AttemptRetryReason): boolean {
    return takeRetry(this.#context, this.#routed.service.name, reason);
  }

  #onTimeout(): void {
    this.#relay.flush();
    this.#attempt?.cancel();
    this.#mayHaveRun ||= this.#attempt?.isSent ?? false;
    this.#fail(RequestOutcome.TimedOut, "timeout of the route");
  }

  /**
   * Ends a request without success: by a target's failure, or by stating whether it may have run. The caller may return
   * after `retryAfterMs`, by default when a place is likely to be free.
   */
  #fail(end: RequestOutcome, text: string, times: FailureTimes = {}): void {
    if (this.#isEnded) {
      return;
    }
    if (this.#writer.hasStarted) {
      this.#abort();
    } else if (this.#fallback.response !== null) {
      this.#deliver(this.#fallback.response, RequestOutcome.TargetFailure);
    } else {
      const { retryAfterMs = null, queueWaitMs = null } = times;
      const failure = { end, text, mayHaveRun: this.#mayHaveRun, retryAfterMs, queueWaitMs };
      const sent = sendFailure(this.#context, this.#routed, this.#writer, failure);
      this.#end(sent.end, sent.status);
    }
  }

  #deliver({ status, headers, body }: FullResponse, end: RequestOutcome): void {
    if (this.#isEnded) {
      return;
    }
    if (this.#writer.hasStarted) {
      this.#abort();
      return;
    }
    this.#context.metrics.responses.observeMs(this.#now() - this.#routed.arrivedAtMs);
    this.#writer.sendFull(status, headers, body);
    this.#end(end, status);
  }

  #endBroken(): void {
    this.#mayHaveRun ||= this.#attempt?.isSent ?? false;
    try {
      this.#fail(RequestOutcome.Unknown, "internal error");
    } finally {
      if (!this.#routed.response.writableEnded) {
        this.#routed.response.destroy();
      }
    }
  }

  #abort(): void {
    this.#relay.flush();
    this.#end(RequestOutcome.StreamBroken, null);
    this.#writer.abort(this.#endMs - this.#now());
  }

  #end(end: RequestOutcome, status: number | null): void {
    if (this.#isEnded) {
      return;
    }
    this.#isEnded = true;
    clearTimeout(this.#timer);
    this.#admission.cancel();
    this.#attempt?.cancel();
    this.#relay.cancel();
    this.#fallback.clear();
    const serviceLoad = end === RequestOutcome.Full ? this.#admission.load : null;
    this.#log.logOutcome({
      end,
      status,
      tried: this.#tried,
      serviceLoad,
      queueEnd: this.#admission.queueEnd,
    });
  }

  #now(): number {
    return this.#context.options.clock.monotonicMs();
  }
}
