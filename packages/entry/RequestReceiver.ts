import { createHash } from "node:crypto";
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import type * as z from "zod";
import { Outcome } from "@clementinemux/common/Outcome";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import { TargetKind } from "@clementinemux/common/TargetKind";
import { headerNames } from "@clementinemux/common/headerNames";
import { createRequestKey } from "@clementinemux/crashes/createRequestKey";
import type { Claimant } from "@clementinemux/messages/Claimant";
import type { RecordedResponse } from "@clementinemux/messages/RecordedResponse";
import type { PolicyRequest } from "@clementinemux/policy/PolicyRequest";
import { getTeamSettings } from "@clementinemux/policy/getTeamSettings";
import type { IncomingRequest } from "./IncomingRequest";
import type { ClaimClient } from "./ClaimClient";
import { ClaimGuard } from "./ClaimGuard";
import type { EntrySettings } from "./EntrySettings";
import type { ModelRequest } from "./ModelRequest";
import { ModelSession } from "./ModelSession";
import type { RequestSession } from "./RequestSession";
import { ServiceSession } from "./ServiceSession";
import type { SessionContext } from "./SessionContext";
import { SseSink } from "./SseSink";
import { JsonSink } from "./JsonSink";
import { createProblem } from "./createProblem";
import { parseModelRequest } from "./parseModelRequest";
import { readBody } from "./readBody";
import { getClaimRefusal } from "./getClaimRefusal";
import { sendProblem } from "./sendProblem";

interface RequestReceiverOptions {
  readonly settings: z.output<typeof EntrySettings>;
  readonly context: SessionContext;
  readonly claims: ClaimClient;
  readonly claimant: Claimant;
}

interface AdmittedRequest {
  readonly incoming: IncomingRequest;
  readonly claim: ClaimGuard | null;
  readonly policyRequest: PolicyRequest;
}

const servicePathPattern = /^\/services\/([A-Za-z0-9._-]{1,128})(\/.*)?$/;
const traceparentPattern = /^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$/;
const maxKeyLength = 256;
// An unlisted service is treated as not repeatable, because running its calls twice could do harm.
const unlistedServiceSettings = { repeatable: false, timeoutMs: 30_000, keyRequired: false };

/** Turns callers' requests into sessions: reads the body, claims the key and submits them to the policy. */
export class RequestReceiver {
  readonly #options: RequestReceiverOptions;

  constructor(options: RequestReceiverOptions) {
    this.#options = options;
  }

  /** Resolves when the request has ended. */
  async handleModelRequest(incoming: IncomingRequest): Promise<void> {
    const body = await this.#readBody(incoming);
    if (body === null) {
      return;
    }
    const parsed = parseModelRequest(incoming.path, body.toString("utf8"));
    if (parsed.isLeft()) {
      this.#refuse(incoming, RefusalReason.BadRequest, Outcome.NotRun);
      return;
    }
    const model = parsed.extract() as ModelRequest;
    const { headers } = incoming.request;
    const isOnce = isAtMostOnce(headers);
    const policyRequest = this.#createPolicyRequest(incoming, TargetKind.Engine, model.model, !isOnce, model);
    const key = createKey(incoming, policyRequest, body);
    if (this.#refuseSuspect(incoming, key)) {
      return;
    }
    const admitted = await this.#admit(incoming, policyRequest, isOnce, body);
    if (admitted !== null) {
      await this.#run(incoming, (onSessionEnded) =>
        this.#createModelSession(admitted, model, key, onSessionEnded),
      );
    }
  }

  /** Resolves when the request has ended. */
  async handleServiceRequest(incoming: IncomingRequest): Promise<void> {
    const [, service, path] = servicePathPattern.exec(incoming.path) ?? [];
    if (service === undefined) {
      this.#refuse(incoming, RefusalReason.ServiceUnknown, Outcome.NotRun);
      return;
    }
    const body = await this.#readBody(incoming);
    if (body === null) {
      return;
    }
    const { headers } = incoming.request;
    const { defaults } = this.#options.context.getConfig();
    const serviceSettings = defaults.services[service] ?? unlistedServiceSettings;
    const repeatable = serviceSettings.repeatable && !isAtMostOnce(headers);
    const hasKey = headers[headerNames.idempotencyKey] !== undefined;
    // Without a key, a caller's retry could not be recognised and would run again.
    if (serviceSettings.keyRequired && !repeatable && body.length > 0 && !hasKey) {
      this.#refuse(incoming, RefusalReason.BadRequest, Outcome.NotRun);
      return;
    }
    const policyRequest = this.#createPolicyRequest(incoming, TargetKind.Service, service, repeatable, null);
    const key = createKey(incoming, policyRequest, body);
    if (this.#refuseSuspect(incoming, key)) {
      return;
    }
    const admitted = await this.#admit(incoming, policyRequest, hasKey && !repeatable, body);
    if (admitted === null) {
      return;
    }
    const { context, settings } = this.#options;
    await this.#run(
      incoming,
      (onSessionEnded) =>
        new ServiceSession(
          {
            request: policyRequest,
            key,
            method: incoming.request.method ?? "GET",
            path: path ?? "/",
            contentType: headers["content-type"] ?? "",
            body,
            response: incoming.response,
            claim: admitted.claim,
            recordLimitBytes: admitted.claim === null ? 0 : settings.maxRecordedBytes,
            timeoutMs: serviceSettings.timeoutMs,
            traceparent: getTraceparent(headers),
            onSessionEnded,
          },
          context,
        ),
    );
  }

  async #readBody(incoming: IncomingRequest): Promise<Buffer | null> {
    const body = await readBody(incoming.request, this.#options.settings.maxBodyBytes);
    if (body === null) {
      incoming.response.setHeader("connection", "close");
      this.#refuse(incoming, RefusalReason.BodyTooLarge, Outcome.NotRun);
    }
    return body;
  }

  #createPolicyRequest(
    incoming: IncomingRequest,
    kind: TargetKind,
    model: string,
    repeatable: boolean,
    parsed: ModelRequest | null,
  ): PolicyRequest {
    const { context, settings } = this.#options;
    const { requestId, team, arrivedAtMs, request } = incoming;
    const isService = kind === TargetKind.Service;
    const { requestClass, deadlineMs } = getTeamSettings(context.getConfig(), {
      team,
      model: isService ? "" : model,
      service: isService ? model : "",
      region: settings.region,
    });
    const requestedMs = Number(request.headers[headerNames.deadlineMs] ?? Infinity);
    return {
      requestId,
      team,
      kind,
      model,
      adapter: parsed?.adapter ?? "",
      requestClass,
      arrivedAtMs,
      // A caller may shorten its deadline; only a listed exception extends it.
      deadlineAtMs: arrivedAtMs + (requestedMs >= 0 ? Math.min(requestedMs, deadlineMs) : deadlineMs),
      promptTokenCount: parsed?.promptTokenCount ?? 0,
      maxTokenCount: parsed?.maxTokenCount ?? 0,
      prefixHashes: parsed?.prefixHashes ?? [],
      repeatable,
    };
  }

  /**
   * Claims the idempotency key if one is needed. Resolves with null when a response has already been sent.
   */
  async #admit(
    incoming: IncomingRequest,
    policyRequest: PolicyRequest,
    needsClaim: boolean,
    body: Buffer,
  ): Promise<AdmittedRequest | null> {
    if (!needsClaim) {
      return { incoming, claim: null, policyRequest };
    }
    const { headers, method } = incoming.request;
    const key = String(headers[headerNames.idempotencyKey] ?? "");
    const createdAtMs = Number(headers[headerNames.idempotencyCreated] ?? NaN);
    if (key === "" || key.length > maxKeyLength) {
      this.#refuse(incoming, RefusalReason.BadRequest, Outcome.NotRun);
      return null;
    }
    const { claims, claimant, context } = this.#options;
    const bodyDigest = createHash("sha256")
      .update(`${method ?? ""} ${incoming.path}\n`)
      .update(body);
    const request = {
      team: incoming.team,
      key,
      bodyDigest: bodyDigest.digest("hex"),
      claimant,
      requestId: incoming.requestId,
      createdAtMs: Number.isFinite(createdAtMs) ? createdAtMs : null,
    };
    const claim = new ClaimGuard(claims, request, { random: context.random, wait });
    const response = await claim.claim();
    if (response === null) {
      this.#refuse(incoming, RefusalReason.ClaimUnavailable, Outcome.NotRun);
      return null;
    }
    if (response.answer !== null) {
      sendRecordedResponse(incoming, response.answer);
      return null;
    }
    const refusal = getClaimRefusal(response.state);
    if (refusal !== null) {
      this.#refuse(incoming, refusal.reason, refusal.outcome);
      return null;
    }
    return { incoming, claim, policyRequest };
  }

  #createModelSession(
    admitted: AdmittedRequest,
    model: ModelRequest,
    key: string,
    onSessionEnded: () => void,
  ): ModelSession {
    const { settings, context } = this.#options;
    const { incoming, claim, policyRequest } = admitted;
    const sinkOptions = {
      response: incoming.response,
      requestId: incoming.requestId,
      isChat: model.isChat,
      model: model.model,
      promptTokenCount: model.promptTokenCount,
      recordLimitBytes: claim === null ? 0 : settings.maxRecordedBytes,
    };
    const sink = model.stream ? new SseSink(sinkOptions) : new JsonSink(sinkOptions);
    return new ModelSession(
      {
        request: policyRequest,
        key,
        model,
        sink,
        claim,
        traceparent: getTraceparent(incoming.request.headers),
        onSessionEnded,
      },
      context,
    );
  }

  #run(incoming: IncomingRequest, create: (onSessionEnded: () => void) => RequestSession): Promise<void> {
    return new Promise((resolve) => {
      const { context } = this.#options;
      const session = create(resolve);
      const { requestId, team, model, requestClass } = session.request;
      context.explain.add({
        requestId,
        team,
        model,
        requestClass,
        revision: context.getConfig().revision,
        attempts: [],
        result: null,
        tokenCount: 0,
      });
      onCallerGone(incoming.response, () => {
        session.onCallerGone();
      });
      context.dispatcher.submit(session);
    });
  }

  /** Refuses a request that is suspected of crashing targets. Returns whether it did. */
  #refuseSuspect(incoming: IncomingRequest, key: string): boolean {
    const waitMs = this.#options.context.crashes.getWaitMs(key);
    if (waitMs > 0) {
      this.#refuse(incoming, RefusalReason.SuspectRequest, Outcome.NotRun, waitMs);
    }
    return waitMs > 0;
  }

  #refuse(
    { requestId, response }: IncomingRequest,
    reason: RefusalReason,
    outcome: Outcome,
    retryAfterMs?: number,
  ): void {
    const { context } = this.#options;
    context.metrics.refusals.add(reason);
    context.log("request refused", { requestId, reason });
    const delays = retryAfterMs === undefined ? {} : { retryAfterMs };
    sendProblem(response, createProblem({ requestId, reason, outcome, ...delays }, context.random));
  }
}

/** The idempotency key does not tell requests apart, as the same bytes crash a target under any key. */
function createKey({ request, path }: IncomingRequest, policyRequest: PolicyRequest, body: Buffer): string {
  const { kind, model, team } = policyRequest;
  return createRequestKey([kind, model, team, request.method ?? "GET", path], body);
}

/** Calls back when the connection closes, or had already closed, before the full response was sent. */
function onCallerGone(response: ServerResponse, callback: () => void): void {
  const check = (): void => {
    if (!response.writableFinished) {
      callback();
    }
  };
  response.once("close", check);
  if (response.destroyed) {
    queueMicrotask(check);
  }
}

/** Resolves after a delay. Its timer does not keep the process alive. */
function wait(ms: number): Promise<unknown> {
  return delay(ms, undefined, { ref: false });
}

function isAtMostOnce(headers: IncomingHttpHeaders): boolean {
  return headers[headerNames.idempotencyMode] === "once";
}

function getTraceparent(headers: IncomingHttpHeaders): string | null {
  const value = headers.traceparent;
  return typeof value === "string" && traceparentPattern.test(value) ? value : null;
}

function sendRecordedResponse({ requestId, response }: IncomingRequest, recorded: RecordedResponse): void {
  response.writeHead(recorded.status, {
    "content-type": recorded.contentType,
    [headerNames.requestId]: requestId,
    "clementinemux-recorded": "true",
  });
  response.end(recorded.body);
}
