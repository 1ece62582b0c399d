import { getOwn } from "@clementinemux/common/getOwn";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { ServiceLoad } from "./ServiceLoad";
import type { GatewayContext } from "./GatewayContext";
import type { RoutedRequest } from "./RoutedRequest";
import { chooseByFinish } from "./chooseByFinish";
import { chooseByFreeSlots } from "./chooseByFreeSlots";
import { createTargetEstimate } from "./createTargetEstimate";
import { selectFreed } from "./selectFreed";
import { listUsableTargets } from "./listUsableTargets";

interface TargetChoice {
  readonly request: RoutedRequest;
  /** Targets to which the request was already sent. */
  readonly tried: ReadonlySet<string>;
  /** Whether the request has not been sent yet. */
  readonly isFirst: boolean;
  /** Load of the service when the request was admitted; null when it was not measured. */
  readonly serviceLoad: ServiceLoad | null;
}

/**
 * Requests that may queue at each target. None do: a request that waits in the gateway can still go to any
 * target.
 */
const queueSlots = 0;
/**
 * A rank that is twice as slow as the others gets an eighth of the requests, since its whole group waits for
 * it.
 */
const slowdownPower = 3;
/**
 * Where targets may become cold, an empty one gets at most this multiple of the share of a usual one: it may be empty since it
 * has restarted, and every gateway would choose it before it knows that.
 */
const maxColdWeightRatio = 3;

/**
 * Chooses the target for a request by load, health, slowdown and free slots or expected work; null when no target
 * has a slot.
 */
export function chooseTarget(context: GatewayContext, choice: TargetChoice): TargetRecord | null {
  const { view, loads, health, options } = context;
  const { request, tried, isFirst, serviceLoad } = choice;
  const { service } = request;
  const { healthy, slow } = listUsableTargets(context, service.name);
  const { meanLoad = 0, cap = Infinity } = serviceLoad ?? {};
  const isHealthyFull = isFirst && slow.length > 0 && meanLoad >= cap;
  const pools = isHealthyFull ? [slow] : [healthy, slow];
  const targets = pools.map((pool) => pool.filter(({ id }) => !tried.has(id))).find(isFilled) ?? [];
  const candidates = health.select(targets, options.clock.monotonicMs()).map((target) => ({
    id: target.id,
    slots: service.engine?.slots ?? target.slots,
    load: loads.getLoad(target),
    weight: health.getWeight(target.id) / (getOwn(view.state.slowdowns, target.id) ?? 1) ** slowdownPower,
    isNear: target.failureDomain === options.failureDomain,
    hasFreed: loads.hasFreed(target.id),
  }));
  const isQueued = context.admissions.isInForce(service.name);
  const preferred = isQueued ? selectFreed(candidates) : candidates;
  const maxRatio = (service.coldStart ?? null) === null ? Infinity : maxColdWeightRatio;
  const id = context.work.isInForce(service.name)
    ? chooseByFinish(preferred, createTargetEstimate(context.work, request), options.random)
    : chooseByFreeSlots(preferred, queueSlots, options.random, maxRatio);
  return targets.find((target) => target.id === id) ?? null;
}

function isFilled(targets: readonly TargetRecord[]): boolean {
  return targets.length > 0;
}
