import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { headerNames } from "@clementinemux/common/headerNames";
import type { RecordedResponse } from "@clementinemux/messages/RecordedResponse";
import { AttemptEndKind } from "@clementinemux/policy/AttemptEndKind";
import type { PolicyAction } from "@clementinemux/policy/PolicyAction";
import type { PolicyActionKind } from "@clementinemux/policy/PolicyActionKind";
import type { PolicyRequest } from "@clementinemux/policy/PolicyRequest";
import { encodeHeaderText } from "@clementinemux/wire/encodeHeaderText";
import type { Dispatcher as UndiciDispatcher } from "undici";
import type { ClaimGuard } from "./ClaimGuard";
import type { Problem } from "./Problem";
import { RequestSession } from "./RequestSession";
import type { SessionContext } from "./SessionContext";
import type { TargetLink } from "./TargetLink";
import { UpstreamCall } from "./UpstreamCall";
import type { UpstreamListener } from "./UpstreamListener";
import { statesItsEnd } from "./statesItsEnd";
import { sendProblem } from "./sendProblem";

const firstFailureStatus = 500;

interface ServiceSessionOptions {
  readonly request: PolicyRequest;
  readonly key: string;
  readonly method: UndiciDispatcher.HttpMethod;
  readonly path: string;
  readonly contentType: string;
  readonly body: Buffer;
  readonly response: ServerResponse;
  readonly claim: ClaimGuard | null;
  /** Maximum size of a recorded response; 0 when it is not recorded. */
  readonly recordLimitBytes: number;
  readonly timeoutMs: number;
  readonly traceparent: string | null;
  readonly onSessionEnded: () => void;
}

interface RunningAttempt {
  readonly attemptId: string;
  readonly link: TargetLink;
  readonly call: UpstreamCall;
  readonly startedAtMs: number;
}

/** Session of a call to a plain service. The service's response is forwarded whatever its status. */
export class ServiceSession extends RequestSession implements UpstreamListener {
  readonly #options: ServiceSessionOptions;
  #running: RunningAttempt | null = null;
  #response: ServerResponse | null;
  #refusal: AttemptEndKind | null = null;
  #status = 0;
  #contentType = "";
  #recorded: Buffer[] | null = [];
  #recordedBytes = 0;
  #anyAttemptMayHaveRun = false;

  constructor(options: ServiceSessionOptions, context: SessionContext) {
    super(options.request, options.key, context, options.claim, options.onSessionEnded);
    this.#options = options;
    this.#response = options.response;
  }

  tick(nowMs: number): void {
    const running = this.#running;
    if (running !== null && nowMs - running.startedAtMs > this.#options.timeoutMs) {
      running.call.abort();
      void running.link.replacePool(this.#options.timeoutMs, () => this.context.clock.monotonicMs());
      this.#end(AttemptEndKind.FirstTokenTimeout);
    }
  }

  onHead(status: number, headers: IncomingHttpHeaders): void {
    const running = this.#running;
    if (running === null) {
      return;
    }
    if (headers[headerNames.refusedBy] === "agent") {
      const stamp = headers[headerNames.stamp];
      if (typeof stamp === "string") {
        running.link.updateStamp(stamp, this.context.clock.monotonicMs());
      }
      this.#refusal = AttemptEndKind.AgentRefused;
      return;
    }
    if (headers[headerNames.targetLost] !== undefined) {
      running.call.abort();
      this.#end(AttemptEndKind.StreamBroken);
      return;
    }
    const echoedAttemptId = headers[headerNames.attemptId];
    const isForeign = echoedAttemptId !== undefined && echoedAttemptId !== running.attemptId;
    // Unlike a stream of tokens, the body of a service has no mark of its own at its end.
    if (isForeign || !statesItsEnd(this.#options.method, status, headers)) {
      running.call.abort();
      this.#end(AttemptEndKind.StreamBroken);
      return;
    }
    this.#status = status;
    this.#contentType = headers["content-type"] ?? "application/octet-stream";
    this.#response?.writeHead(status, {
      "content-type": this.#contentType,
      [headerNames.requestId]: this.request.requestId,
      "clementinemux-target": encodeHeaderText(running.link.announcement.target) ?? "",
    });
  }

  onData(chunk: Buffer): void {
    if (this.#refusal !== null || this.#running === null) {
      return;
    }
    this.#record(chunk);
    const { call } = this.#running;
    if (this.#response?.write(chunk) === false) {
      call.pause();
      this.#response.once("drain", () => {
        call.resume();
      });
    }
  }

  onEnd(): void {
    const running = this.#running;
    if (running === null) {
      return;
    }
    if (this.#refusal !== null) {
      this.#end(this.#refusal);
      return;
    }
    this.#running = null;
    this.#response?.end();
    this.reportEnd(running.attemptId, AttemptEndKind.Completed);
    this.succeed(this.#getRecord(), running.link.announcement.target, this.#status < firstFailureStatus);
  }

  onError(written: boolean): void {
    this.#end(written ? AttemptEndKind.StreamBroken : AttemptEndKind.ConnectFailed);
  }

  protected launch(
    action: Extract<PolicyAction, { readonly kind: PolicyActionKind.Dispatch }>,
    link: TargetLink,
  ): void {
    const { method, path, contentType, body, traceparent } = this.#options;
    this.#refusal = null;
    const call = new UpstreamCall(
      {
        link,
        method,
        path,
        headers: {
          ...(contentType === "" ? {} : { "content-type": contentType }),
          ...this.getUpstreamHeaders(action),
          [headerNames.stamp]: link.stamp ?? "",
          ...(traceparent === null ? {} : { traceparent }),
        },
        body: body.length > 0 ? body : null,
        repeatable: this.request.repeatable,
        mayWrite: () => this.mayWrite(),
      },
      this,
    );
    this.#running = {
      attemptId: action.attemptId,
      link,
      call,
      startedAtMs: this.context.clock.monotonicMs(),
    };
  }

  protected cancelRunning(attemptId: string): void {
    if (this.#running?.attemptId === attemptId) {
      this.abortAll();
    }
  }

  protected abortAll(): void {
    this.#anyAttemptMayHaveRun ||= this.hasRunningAttempt();
    this.#running?.call.abort();
    this.#running = null;
  }

  protected sendFailure(problem: Problem): void {
    if (this.#response?.headersSent === true) {
      // The service's status has already been sent, so an error can only be shown by closing the connection.
      this.#response.destroy();
      return;
    }
    if (this.#response !== null) {
      sendProblem(this.#response, problem);
    }
  }

  protected detachCaller(): void {
    this.#response = null;
    this.#running?.call.resume();
  }

  protected mayHaveRun(): boolean {
    return this.#anyAttemptMayHaveRun || this.hasRunningAttempt();
  }

  protected hasRunningAttempt(): boolean {
    return this.#running?.call.written === true;
  }

  #end(end: AttemptEndKind): void {
    const running = this.#running;
    if (running === null) {
      return;
    }
    this.#running = null;
    const isProvenNotRun = end === AttemptEndKind.AgentRefused || end === AttemptEndKind.ConnectFailed;
    this.#anyAttemptMayHaveRun ||= !isProvenNotRun;
    if (this.#response?.headersSent === true) {
      // Another attempt cannot continue a response that has begun.
      this.#response.destroy();
      this.onCallerGone();
      this.context.dispatcher.onCallerGone(this.request.requestId);
    }
    this.reportEnd(running.attemptId, end);
  }

  #record(chunk: Buffer): void {
    if (this.#recorded === null) {
      return;
    }
    this.#recordedBytes += chunk.length;
    if (this.#recordedBytes > this.#options.recordLimitBytes) {
      this.#recorded = null;
      return;
    }
    this.#recorded.push(chunk);
  }

  #getRecord(): RecordedResponse | null {
    return this.#recorded === null
      ? null
      : { status: this.#status, contentType: this.#contentType, body: Buffer.concat(this.#recorded) };
  }
}
