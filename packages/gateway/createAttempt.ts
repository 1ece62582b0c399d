import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { RouteKind } from "@clementinemux/routes/RouteKind";
import { Attempt } from "./Attempt";
import type { AttemptListener } from "./AttemptListener";
import type { AttemptWatch } from "./AttemptWatch";
import type { GatewayContext } from "./GatewayContext";
import type { Guard } from "./Guard";
import { ReceivedUnit } from "./ReceivedUnit";
import type { RoutedRequest } from "./RoutedRequest";
import { computeStallTimeoutMs } from "./computeStallTimeoutMs";
import { createCallOptions } from "./createCallOptions";
import { noteFailedConnection } from "./noteFailedConnection";
import { recordNotice } from "./recordNotice";

interface AttemptInput {
  readonly target: TargetRecord;
  readonly watch: AttemptWatch;
  /** Time until the end of the request, in ms. */
  readonly leftMs: number;
  /** Id of the last event that the caller has; null for a whole stream. */
  readonly resumeAfter: string | null;
  /** Whether the target has been tried before. */
  readonly isSameTarget: boolean;
  readonly canRetry: boolean;
  readonly guard: Guard;
}

/** Responses from this status on say nothing about the usual work of a route. */
const firstFailureStatus = 400;

/** Creates an attempt that occupies a slot of its target, and tells what it shows of the target and the request. */
export function createAttempt(
  context: GatewayContext,
  routed: RoutedRequest,
  { target, watch, ...call }: AttemptInput,
  listener: AttemptListener,
): Attempt {
  const { options, loads, ramps, admissions, byteBudget, metrics } = context;
  const { route, service } = routed;
  const queue = admissions.get(service);
  const now = (): number => options.clock.monotonicMs();
  const callOptions = createCallOptions(context, routed, { target, ...call });
  const startedAtMs = now();
  let hasRun = false;
  loads.begin(target.id);
  ramps.noteSent(target.id, options.leaseClock.monotonicMs());
  queue.noteTaken();
  const running = context.work.begin(routed, target.id, call.resumeAfter === null);
  const attempt: Attempt = new Attempt({
    targetId: target.id,
    isStream: route.kind === RouteKind.Streaming,
    stallTimeoutMs: computeStallTimeoutMs(route, options.minStallTimeoutMs),
    responses: byteBudget.responses,
    call: callOptions,
    clock: options.clock,
    turns: context.turns,
    onPiece: (sizeBytes) => {
      metrics.received.add(ReceivedUnit.Bytes, sizeBytes);
      metrics.received.add(ReceivedUnit.Pieces);
    },
    onResponse: (response) => {
      hasRun = !response.isNotRun && !response.isMisdirected;
      recordNotice(context, target, response);
    },
    onFullResponse: (status, headers, body) => {
      watch.noteResponse(status, now());
      if (status < firstFailureStatus) {
        running.noteComplete(now());
      }
      listener.onFullResponse(attempt, { status, headers, body });
    },
    onStreamStart: listener.onStreamStart,
    onEvents: (events) => {
      watch.noteEvent(now());
      running.noteEvents(events.length);
      return listener.onEvents(attempt, events);
    },
    onStreamEnd: () => {
      watch.noteStreamEnd(now());
      running.noteComplete(now());
      listener.onStreamEnd(attempt);
    },
    onNotRun: (faultyTarget) => {
      listener.onNotRun(attempt, faultyTarget);
    },
    onFailure: (failure, isSent, detail) => {
      noteFailedConnection(context, routed.service, target.id, failure);
      listener.onFailure({ attempt, watch, failure, isSent, detail });
    },
    onReleased: () => {
      loads.end(target.id);
      queue.noteFreed(hasRun ? now() - startedAtMs : null);
      running.end();
    },
  });
  return attempt;
}
