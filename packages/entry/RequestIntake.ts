import { createHash } from "node:crypto";
import type { IncomingHttpHeaders, ServerResponse } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import type * as z from "zod";
import { Outcome } from "@clementinemux/common/Outcome";
import { RefusalReason } from "@clementinemux/common/RefusalReason";
import { TargetKind } from "@clementinemux/common/TargetKind";
import { headerNames } from "@clementinemux/common/headerNames";
import type { Claimant } from "@clementinemux/messages/Claimant";
import type { RecordedAnswer } from "@clementinemux/messages/RecordedAnswer";
import type { PolicyRequest } from "@clementinemux/policy/PolicyRequest";
import { getTeamSettings } from "@clementinemux/policy/getTeamSettings";
import type { Arrival } from "./Arrival";
import type { ClaimClient } from "./ClaimClient";
import { ClaimGuard } from "./ClaimGuard";
import type { EntrySettings } from "./EntrySettings";
import type { ModelRequest } from "./ModelRequest";
import { ModelSession } from "./ModelSession";
import type { RequestSession } from "./RequestSession";
import { ServiceSession } from "./ServiceSession";
import type { SessionContext } from "./SessionContext";
import { SseSink } from "./SseSink";
import { WholeSink } from "./WholeSink";
import { createProblem } from "./createProblem";
import { parseModelRequest } from "./parseModelRequest";
import { readBody } from "./readBody";
import { refuseClaim } from "./refuseClaim";
import { sendProblem } from "./sendProblem";

interface RequestIntakeOptions {
  readonly settings: z.output<typeof EntrySettings>;
  readonly context: SessionContext;
  readonly claims: ClaimClient;
  readonly claimant: Claimant;
}

interface Admitted {
  readonly arrival: Arrival;
  readonly claim: ClaimGuard | null;
  readonly policyRequest: PolicyRequest;
}

const servicePath = /^\/services\/([A-Za-z0-9._-]{1,128})(\/.*)?$/;
const traceparent = /^[0-9a-f]{2}-[0-9a-f]{32}-[0-9a-f]{16}-[0-9a-f]{2}$/;
const maxKeyLength = 256;
// An unlisted service is treated as not repeatable, because running its calls twice could do harm.
const unlistedService = { repeatable: false, timeoutMs: 30_000, keyRequired: false };

/**
 * Turns callers' requests into sessions: reads the body, claims the key and submits the request to the
 * policy.
 */
export class RequestIntake {
  readonly #options: RequestIntakeOptions;

  constructor(options: RequestIntakeOptions) {
    this.#options = options;
  }

  /** Resolves when the request has ended. */
  async takeModelRequest(arrival: Arrival): Promise<void> {
    const body = await this.#readBody(arrival);
    if (body === null) {
      return;
    }
    const parsed = parseModelRequest(arrival.path, body.toString("utf8"));
    if (parsed.isLeft()) {
      this.#refuse(arrival, RefusalReason.BadRequest, Outcome.NotRun);
      return;
    }
    const model = parsed.extract() as ModelRequest;
    const { headers } = arrival.request;
    const isOnce = isMarkedOnce(headers);
    const policyRequest = this.#createPolicyRequest(arrival, TargetKind.Engine, model.model, !isOnce, model);
    const admitted = await this.#admit(arrival, policyRequest, isOnce, body);
    if (admitted !== null) {
      await this.#run(arrival, (onOver) => this.#createModelSession(admitted, model, onOver));
    }
  }

  /** Resolves when the request has ended. */
  async takeServiceRequest(arrival: Arrival): Promise<void> {
    const [, service, path] = servicePath.exec(arrival.path) ?? [];
    if (service === undefined) {
      this.#refuse(arrival, RefusalReason.ServiceUnknown, Outcome.NotRun);
      return;
    }
    const body = await this.#readBody(arrival);
    if (body === null) {
      return;
    }
    const { headers } = arrival.request;
    const { defaults } = this.#options.context.getConfig();
    const treatment = defaults.services[service] ?? unlistedService;
    const repeatable = treatment.repeatable && !isMarkedOnce(headers);
    const hasKey = headers[headerNames.idempotencyKey] !== undefined;
    // Without a key, a caller's retry could not be recognised and would run again.
    if (treatment.keyRequired && !repeatable && body.length > 0 && !hasKey) {
      this.#refuse(arrival, RefusalReason.BadRequest, Outcome.NotRun);
      return;
    }
    const policyRequest = this.#createPolicyRequest(arrival, TargetKind.Service, service, repeatable, null);
    const admitted = await this.#admit(arrival, policyRequest, hasKey && !repeatable, body);
    if (admitted === null) {
      return;
    }
    const { context, settings } = this.#options;
    await this.#run(
      arrival,
      (onOver) =>
        new ServiceSession(
          {
            request: policyRequest,
            method: arrival.request.method ?? "GET",
            path: path ?? "/",
            contentType: headers["content-type"] ?? "",
            body,
            response: arrival.response,
            claim: admitted.claim,
            recordLimitBytes: admitted.claim === null ? 0 : settings.maxRecordedBytes,
            timeoutMs: treatment.timeoutMs,
            traceparent: getTraceparent(headers),
            onOver,
          },
          context,
        ),
    );
  }

  async #readBody(arrival: Arrival): Promise<Buffer | null> {
    const body = await readBody(arrival.request, this.#options.settings.maxBodyBytes);
    if (body === null) {
      arrival.response.setHeader("connection", "close");
      this.#refuse(arrival, RefusalReason.BodyTooLarge, Outcome.NotRun);
    }
    return body;
  }

  #createPolicyRequest(
    arrival: Arrival,
    kind: TargetKind,
    model: string,
    repeatable: boolean,
    parsed: ModelRequest | null,
  ): PolicyRequest {
    const { context, settings } = this.#options;
    const { requestId, team, arrivedAtMs, request } = arrival;
    const isService = kind === TargetKind.Service;
    const { requestClass, deadlineMs } = getTeamSettings(context.getConfig(), {
      team,
      model: isService ? "" : model,
      service: isService ? model : "",
      region: settings.region,
    });
    const askedMs = Number(request.headers[headerNames.deadlineMs] ?? Infinity);
    return {
      requestId,
      team,
      kind,
      model,
      adapter: parsed?.adapter ?? "",
      requestClass,
      arrivedAtMs,
      // A caller may shorten its deadline; only a listed exception extends it.
      deadlineAtMs: arrivedAtMs + (askedMs >= 0 ? Math.min(askedMs, deadlineMs) : deadlineMs),
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
    arrival: Arrival,
    policyRequest: PolicyRequest,
    needsClaim: boolean,
    body: Buffer,
  ): Promise<Admitted | null> {
    if (!needsClaim) {
      return { arrival, claim: null, policyRequest };
    }
    const { headers, method } = arrival.request;
    const key = String(headers[headerNames.idempotencyKey] ?? "");
    const createdAtMs = Number(headers[headerNames.idempotencyCreated] ?? NaN);
    if (key === "" || key.length > maxKeyLength) {
      this.#refuse(arrival, RefusalReason.BadRequest, Outcome.NotRun);
      return null;
    }
    const { claims, claimant, context } = this.#options;
    const bodyDigest = createHash("sha256")
      .update(`${method ?? ""} ${arrival.path}\n`)
      .update(body);
    const request = {
      team: arrival.team,
      key,
      bodyDigest: bodyDigest.digest("hex"),
      claimant,
      requestId: arrival.requestId,
      createdAtMs: Number.isFinite(createdAtMs) ? createdAtMs : null,
    };
    const claim = new ClaimGuard(claims, request, { random: context.random, wait });
    const answer = await claim.claim();
    if (answer === null) {
      this.#refuse(arrival, RefusalReason.ClaimUnavailable, Outcome.NotRun);
      return null;
    }
    if (answer.answer !== null) {
      sendRecorded(arrival, answer.answer);
      return null;
    }
    const refusal = refuseClaim(answer.state);
    if (refusal !== null) {
      this.#refuse(arrival, refusal.reason, refusal.outcome);
      return null;
    }
    return { arrival, claim, policyRequest };
  }

  #createModelSession(admitted: Admitted, model: ModelRequest, onOver: () => void): ModelSession {
    const { settings, context } = this.#options;
    const { arrival, claim, policyRequest } = admitted;
    const sinkOptions = {
      response: arrival.response,
      requestId: arrival.requestId,
      isChat: model.isChat,
      model: model.model,
      promptTokenCount: model.promptTokenCount,
      recordLimitBytes: claim === null ? 0 : settings.maxRecordedBytes,
    };
    const sink = model.stream ? new SseSink(sinkOptions) : new WholeSink(sinkOptions);
    return new ModelSession(
      {
        request: policyRequest,
        model,
        sink,
        claim,
        traceparent: getTraceparent(arrival.request.headers),
        onOver,
      },
      context,
    );
  }

  #run(arrival: Arrival, create: (onOver: () => void) => RequestSession): Promise<void> {
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
      onCallerGone(arrival.response, () => {
        session.onCallerGone();
      });
      context.dispatcher.submit(session);
    });
  }

  #refuse({ requestId, response }: Arrival, reason: RefusalReason, outcome: Outcome): void {
    const { context } = this.#options;
    context.metrics.refusals.add(reason);
    context.log("request refused", { requestId, reason });
    sendProblem(response, createProblem({ requestId, reason, outcome }, context.random));
  }
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

/** Does not keep the process alive. */
function wait(ms: number): Promise<unknown> {
  return delay(ms, undefined, { ref: false });
}

function isMarkedOnce(headers: IncomingHttpHeaders): boolean {
  return headers[headerNames.idempotencyMode] === "once";
}

function getTraceparent(headers: IncomingHttpHeaders): string | null {
  const value = headers.traceparent;
  return typeof value === "string" && traceparent.test(value) ? value : null;
}

function sendRecorded({ requestId, response }: Arrival, answer: RecordedAnswer): void {
  response.writeHead(answer.status, {
    "content-type": answer.contentType,
    [headerNames.requestId]: requestId,
    "clementinemux-recorded": "true",
  });
  response.end(answer.body);
}
