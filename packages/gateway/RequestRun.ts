import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { parseAddress } from "@clementinemux/wire/parseAddress";
import { AnswerWriter } from "./AnswerWriter";
import type { Arrival } from "./Arrival";
import { Attempt } from "./Attempt";
import { AttemptOutcome } from "./AttemptOutcome";
import { CallFailure } from "./CallFailure";
import { EventPacer } from "./EventPacer";
import { EventRelay } from "./EventRelay";
import type { Crowding } from "./Crowding";
import type { GatewayContext } from "./GatewayContext";
import type { GroupForming } from "./GroupForming";
import { NextStep } from "./NextStep";
import { RepeatReason } from "./RepeatReason";
import { RequestEnd } from "./RequestEnd";
import { RequestLog } from "./RequestLog";
import type { TargetAnswer } from "./TargetAnswer";
import { chooseTarget } from "./chooseTarget";
import { computeStallMs } from "./computeStallMs";
import { computeWaitLimitMs } from "./computeWaitLimitMs";
import { createSendHeaders } from "./createSendHeaders";
import { decideNextStep } from "./decideNextStep";
import { estimateRetryMs } from "./estimateRetryMs";
import { measureCrowding } from "./measureCrowding";
import { slowPace } from "./slowPace";

interface WholeAnswer {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

const waitStepMs = 20;
/** An idempotent request waits for an unresponsive target no longer than this share of its time. */
const silentShare = 0.45;
const repeatReasons: Readonly<Record<AttemptOutcome, RepeatReason>> = {
  [AttemptOutcome.NotSent]: RepeatReason.NotConnected,
  [AttemptOutcome.NotRun]: RepeatReason.NotRun,
  [AttemptOutcome.Failed]: RepeatReason.TargetFailure,
  [AttemptOutcome.Unknown]: RepeatReason.Broken,
};

/**
 * Handles one request from its admission to its end: chooses targets, retries, and relays the response to the
 * caller.
 */
export class RequestRun {
  readonly #context: GatewayContext;
  readonly #arrival: Arrival;
  readonly #writer: AnswerWriter;
  readonly #relay: EventRelay;
  readonly #log: RequestLog;
  readonly #forming: GroupForming | null;
  readonly #endMs: number;
  /** How long the caller had waited before this request, in ms. */
  readonly #usedMs: number;
  readonly #tried = new Set<string>();
  readonly #timer: NodeJS.Timeout;
  #crowding: Crowding | null = null;
  #waitTimer: NodeJS.Timeout | null = null;
  #attempt: Attempt | null = null;
  #sends = 0;
  #mayHaveRun = false;
  /** A target's failure response, delivered when no retry brings a better one. */
  #fallback: WholeAnswer | null = null;
  #isEnded = false;

  constructor(context: GatewayContext, arrival: Arrival) {
    const { response, route, caller, arrivedAtMs } = arrival;
    this.#context = context;
    this.#arrival = arrival;
    this.#forming = context.getForming(arrival.service);
    this.#writer = new AnswerWriter(response, context);
    const { maxHoldMs, clock } = context.options;
    this.#relay = new EventRelay({
      writer: this.#writer,
      pacer: new EventPacer({ maxHoldMs, gapObjectiveMs: route.gapObjectiveMs }),
      clock,
      onGap: (gapMs) => {
        context.metrics.pauses.observeMs(gapMs);
        this.#notePass(gapMs);
      },
    });
    this.#log = new RequestLog(context, arrival, this.#relay);
    this.#endMs = arrivedAtMs + Math.min(route.timeoutMs, caller.leftMs ?? Infinity);
    this.#usedMs = context.deadlines.note(route.name, caller.leftMs, arrivedAtMs);
    this.#timer = setTimeout(
      () => {
        this.#onTimeout();
      },
      Math.max(0, this.#endMs - this.#now()),
    );
    response.on("close", () => {
      if (!response.writableFinished) {
        this.#end(RequestEnd.CallerLeft, null);
      }
    });
    context.getBudget(arrival.service.name).noteRequest(this.#now());
  }

  /** Sends the request to a target, waits for a slot, or rejects it. */
  start(): void {
    this.#admit();
  }

  /**
   * Sends the request when a slot is free; waits a short while for one, within the limit given by the
   * objective.
   */
  #admit(): void {
    if (this.#isEnded) {
      return;
    }
    const { route, arrivedAtMs } = this.#arrival;
    const elapsedMs = this.#now() - arrivedAtMs;
    const limits = { elapsedMs, usedMs: this.#usedMs, endMs: this.#endMs - arrivedAtMs };
    const waitLeftMs = computeWaitLimitMs({ ...limits, objectiveMs: route.objectiveMs }) - elapsedMs;
    const hasPlace = this.#hasPlace() && this.#mayTry();
    if (hasPlace || waitLeftMs <= (this.#crowding?.pauseMs ?? 0)) {
      this.#send(hasPlace && (this.#sends === 0 || this.#takeRepeat(RepeatReason.NotRun)));
    } else {
      this.#waitTimer = setTimeout(() => {
        this.#admit();
      }, waitStepMs);
    }
  }

  /** Whether the service as a whole may run one more request. */
  #hasPlace(): boolean {
    const crowding = measureCrowding(this.#context, this.#arrival);
    this.#crowding = crowding;
    return crowding.meanLoad < crowding.cap || crowding.slowPlaces >= 1;
  }

  /**
   * Whether the request may be sent although its group may be recovering. Always true while other groups of
   * the service are known to be healthy.
   */
  #mayTry(): boolean {
    const open = this.#context.view.listOpenTargets(this.#arrival.service.name);
    const isSplit = (this.#crowding?.targets ?? 0) < open.length;
    return isSplit || (this.#forming?.takeTry(this.#now()) ?? true);
  }

  get #isRepeatable(): boolean {
    const { kind, canResume } = this.#arrival.route;
    return kind === RouteKind.Idempotent || (kind === RouteKind.Streaming && canResume);
  }

  #send(hasPlace: boolean): void {
    const target = hasPlace ? this.#choose() : null;
    if (target === null) {
      const isFull = this.#sends === 0 && this.#forming?.isForming !== true;
      this.#giveUp(isFull ? RequestEnd.Full : RequestEnd.TurnedAway, "no target has a place");
      return;
    }
    const { options, loads, getAgent } = this.#context;
    const { caller, request, body, team, route } = this.#arrival;
    const { host, port } = parseAddress(target.address);
    const leftMs = this.#endMs - this.#now();
    const { lastEventId: resumeAfter } = this.#relay;
    const context = { targetId: target.id, team, leftMs, resumeAfter, urgency: null };
    const headers = createSendHeaders(options.codec, this.#arrival, context);
    this.#tried.add(target.id);
    this.#sends += 1;
    this.#log.noteSend(target, this.#sends, this.#crowding);
    loads.begin(target.id);
    const canRepeat = this.#isRepeatable && this.#sends < route.attempts;
    const attempt = new Attempt({
      targetId: target.id,
      isStream: route.kind === RouteKind.Streaming,
      stallMs: computeStallMs(route, options.leastStallMs),
      heldBytes: this.#context.heldBytes,
      call: {
        host,
        port,
        // A target that was already tried may have a late copy of its rejection, with the same id, on its
        // kept connections.
        agent: this.#sends > this.#tried.size ? null : getAgent(target.address),
        codec: options.codec,
        requestId: caller.requestId,
        method: request.method ?? "GET",
        path: request.url ?? "/",
        headers,
        body,
        answerTimeoutMs:
          canRepeat && route.kind === RouteKind.Idempotent ? leftMs * silentShare : leftMs + 1000,
      },
      onAnswer: (answer) => {
        this.#noteNotice(target, answer);
      },
      onWhole: (status, answerHeaders, whole) => {
        this.#onWhole(attempt, { status, headers: answerHeaders, body: whole });
      },
      onBegin: (status, answerHeaders) => {
        this.#forming?.noteServed();
        if (!this.#writer.hasStarted) {
          this.#writer.begin(status, answerHeaders);
        }
      },
      onEvent: (bytes, id) => {
        this.#onEvent(attempt, bytes, id);
      },
      onComplete: () => {
        this.#onComplete(attempt);
      },
      onNotRun: (faulty) => {
        this.#onNotRun(attempt, faulty);
      },
      onFailure: (failure, isSent, detail) => {
        this.#onFailure(attempt, failure, isSent, detail);
      },
      onReleased: () => {
        loads.end(target.id);
      },
    });
    this.#attempt = attempt;
    attempt.start();
  }

  #choose(): TargetRecord | null {
    const { service } = this.#arrival;
    const isFirst = this.#sends === 0;
    return chooseTarget(this.#context, { service, tried: this.#tried, isFirst, crowding: this.#crowding });
  }

  /**
   * The time of a forward pass sets the concurrency limit of a service, so passes of slow groups are left
   * out.
   */
  #notePass(gapMs: number): void {
    const { getPassMeter, view } = this.#context;
    const pace = view.state.paces[this.#attempt?.targetId ?? ""] ?? 1;
    if (pace < slowPace) {
      getPassMeter(this.#arrival.service.name).note(gapMs, this.#now());
    }
  }

  /** Records what a response states about its target. */
  #noteNotice(target: TargetRecord, answer: TargetAnswer): void {
    const { notices, options } = this.#context;
    const { pauseMs } = answer;
    const isNews = notices.note(target, answer, this.#now());
    if (isNews || pauseMs !== null) {
      options.logger.info(
        { target: target.id, isLeaving: answer.isLeaving, pauseMs },
        "target leaves or pauses",
      );
    }
  }

  #onWhole(attempt: Attempt, answer: WholeAnswer): void {
    const { health } = this.#context;
    this.#mayHaveRun = true;
    if (answer.status < 500) {
      this.#forming?.noteServed();
      health.noteGood(attempt.targetId);
      this.#deliver(answer, RequestEnd.Answered);
      return;
    }
    health.noteBad(attempt.targetId);
    this.#fallback = answer;
    if (!this.#repeat(AttemptOutcome.Failed)) {
      this.#deliver(answer, RequestEnd.TargetFailure);
    }
  }

  #onEvent(attempt: Attempt, bytes: Buffer, id: string | null): void {
    if (!this.#isEnded && this.#relay.push(bytes, id, attempt)) {
      this.#mayHaveRun = true;
    }
  }

  #onComplete(attempt: Attempt): void {
    this.#context.health.noteGood(attempt.targetId);
    this.#relay.end(() => {
      this.#end(RequestEnd.Answered, null);
    });
  }

  #onNotRun(attempt: Attempt, faulty: string | null): void {
    const { health } = this.#context;
    if (faulty !== null && faulty !== attempt.targetId) {
      health.noteUnreachable(faulty, this.#now());
    }
    this.#forming?.noteTurnedAway(this.#now());
    if (this.#isEnded || this.#repeat(AttemptOutcome.NotRun)) {
      return;
    }
    if (this.#forming?.isForming === true && !this.#mayHaveRun) {
      // All ranks reject requests until the group has recovered, so none of them is excluded from the next
      // attempt.
      this.#tried.clear();
      this.#admit();
    } else {
      this.#giveUp(RequestEnd.TurnedAway, "targets have turned the request away");
    }
  }

  #onFailure(attempt: Attempt, failure: CallFailure, isSent: boolean, detail: string): void {
    const { health, options } = this.#context;
    const { targetId } = attempt;
    if (failure === CallFailure.NotConnected) {
      health.noteUnreachable(targetId, this.#now());
    } else {
      health.noteBad(targetId);
    }
    const outcome = isSent ? AttemptOutcome.Unknown : AttemptOutcome.NotSent;
    this.#mayHaveRun ||= isSent;
    const id = this.#arrival.caller.requestId;
    options.logger.info({ id, target: targetId, failure, detail, isSent }, "attempt failed");
    if (!this.#repeat(outcome)) {
      this.#giveUp(this.#writer.hasStarted ? RequestEnd.StreamBroken : RequestEnd.Unknown, failure);
    }
  }

  /** Sends the request again if that is safe, allowed and useful. Returns whether it did. */
  #repeat(outcome: AttemptOutcome): boolean {
    const step = decideNextStep({
      outcome,
      isRepeatable: this.#isRepeatable,
      mayHaveRun: this.#mayHaveRun,
      attemptsLeft: this.#arrival.route.attempts - this.#sends,
      leftMs: this.#endMs - this.#now(),
    });
    const reason = this.#writer.hasStarted ? RepeatReason.Resume : repeatReasons[outcome];
    const isUseful = step === NextStep.Repeat && this.#choose() !== null;
    if (this.#isEnded || !isUseful || !this.#takeRepeat(reason)) {
      return false;
    }
    this.#send(true);
    return true;
  }

  /** Takes a retry from the budget of the service; false when the budget is used up. */
  #takeRepeat(reason: RepeatReason): boolean {
    const { view, getBudget, metrics } = this.#context;
    const isTaken = getBudget(this.#arrival.service.name).take(view.state.liveEntries, this.#now());
    if (isTaken) {
      metrics.repeats.add(reason);
    }
    return isTaken;
  }

  #onTimeout(): void {
    this.#relay.flush();
    this.#attempt?.cancel();
    this.#mayHaveRun ||= this.#attempt?.isSent ?? false;
    this.#giveUp(RequestEnd.TimedOut, "timeout of the route");
  }

  /**
   * Ends a request without a successful response: delivers the target's failure if there is one; otherwise
   * states whether the request may have run.
   */
  #giveUp(end: RequestEnd, text: string): void {
    if (this.#isEnded) {
      return;
    }
    const { service } = this.#arrival;
    if (this.#writer.hasStarted) {
      this.#breakOff();
    } else if (this.#fallback !== null) {
      this.#deliver(this.#fallback, RequestEnd.TargetFailure);
    } else if (this.#mayHaveRun) {
      const status = end === RequestEnd.TimedOut ? 504 : 502;
      this.#writer.sendOwn(status, text, null);
      this.#end(end, status);
    } else {
      const crowding = measureCrowding(this.#context, this.#arrival);
      const isTurnedAway = end === RequestEnd.TurnedAway;
      const retryMs = estimateRetryMs(service, crowding, isTurnedAway, this.#context.options.random);
      this.#writer.sendOwn(503, text, retryMs);
      this.#end(end === RequestEnd.Unknown ? RequestEnd.Unreachable : end, 503);
    }
  }

  #deliver({ status, headers, body }: WholeAnswer, end: RequestEnd): void {
    if (this.#isEnded) {
      return;
    }
    if (this.#writer.hasStarted) {
      this.#breakOff();
      return;
    }
    this.#context.metrics.answers.observeMs(this.#now() - this.#arrival.arrivedAtMs);
    this.#writer.sendWhole(status, headers, body);
    this.#end(end, status);
  }

  #breakOff(): void {
    this.#relay.flush();
    this.#end(RequestEnd.StreamBroken, null);
    this.#writer.breakOff();
  }

  #end(end: RequestEnd, status: number | null): void {
    if (this.#isEnded) {
      return;
    }
    this.#isEnded = true;
    clearTimeout(this.#timer);
    clearTimeout(this.#waitTimer ?? undefined);
    this.#attempt?.cancel();
    this.#relay.cancel();
    const crowding = end === RequestEnd.Full ? this.#crowding : null;
    this.#log.noteEnd(end, status, this.#tried, crowding);
  }

  #now(): number {
    return this.#context.options.clock.monotonicMs();
  }
}
