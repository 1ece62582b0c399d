import type { GatewayContext } from "./GatewayContext";
import type { GroupRecovery } from "./GroupRecovery";
import { RequestOutcome } from "./RequestOutcome";
import type { RoutedRequest } from "./RoutedRequest";
import type { ServiceLoad } from "./ServiceLoad";
import { computeWaitLimitMs } from "./computeWaitLimitMs";
import { countFreeSlots } from "./countFreeSlots";
import { hasLimitedTargetsOnly } from "./hasLimitedTargetsOnly";
import { measureServiceLoad } from "./measureServiceLoad";

/** Decides whether the service of one request may run it now, and for how long the request may wait otherwise. */
export class SlotCheck {
  readonly #context: GatewayContext;
  readonly #routed: RoutedRequest;
  readonly #recovery: GroupRecovery | null;
  readonly #endMs: number;
  /** How long the caller had waited before this request, in ms. */
  readonly #waitedBeforeMs: number;
  #load: ServiceLoad | null = null;

  constructor(context: GatewayContext, routed: RoutedRequest, endMs: number) {
    const { route, caller, arrivedAtMs } = routed;
    this.#context = context;
    this.#routed = routed;
    this.#recovery = context.getGroupRecovery(routed.service);
    this.#endMs = endMs;
    this.#waitedBeforeMs = context.deadlines.note(route.name, caller.leftMs, arrivedAtMs);
  }

  /** Load of the service at the last check; null before the first one. */
  get load(): ServiceLoad | null {
    return this.#load;
  }

  /** Whether all targets that accept requests take them with a permit only. */
  get hasLimitedTargetsOnly(): boolean {
    return this.#load !== null && hasLimitedTargetsOnly(this.#load);
  }

  /** Whether all targets of the service are in evacuated failure domains, so that waiting is of no use. */
  get isEvacuated(): boolean {
    return this.#context.view.isEvacuated(this.#routed.service.name);
  }

  /** Outcome of a request for which there is no slot. */
  get fullOutcome(): RequestOutcome {
    if (this.isEvacuated) {
      return RequestOutcome.Evacuated;
    }
    return this.hasLimitedTargetsOnly ? RequestOutcome.Limited : RequestOutcome.Full;
  }

  /** Measures the load. Returns the number of free slots; a recovering group may still reject a request. */
  countFree(): number {
    this.#load = measureServiceLoad(this.#context, this.#routed);
    return countFreeSlots(this.#load);
  }

  /** Whether a group in recovery may get the request; counts as its probe. */
  takeProbe(): boolean {
    return this.#load !== null && this.#takeProbe(this.#load);
  }

  /** Measures the load. Returns whether the service may run one more request without a permit. */
  hasSlot(): boolean {
    const load = measureServiceLoad(this.#context, this.#routed);
    this.#load = load;
    return (load.meanLoad < load.cap || load.slowPlaces >= 1) && this.#takeProbe(load);
  }

  /** Time for which the request may still wait for a slot, in ms. */
  getWaitLeftMs(): number {
    const { route, arrivedAtMs } = this.#routed;
    const elapsedMs = this.#context.options.clock.monotonicMs() - arrivedAtMs;
    const endMs = this.#endMs - arrivedAtMs;
    const limits = { elapsedMs, usedMs: this.#waitedBeforeMs, endMs, objectiveMs: route.objectiveMs };
    return computeWaitLimitMs(limits) - elapsedMs;
  }

  /** Whether a group in recovery may get the request; always true while other groups are healthy. */
  #takeProbe({ targets, limited, held }: ServiceLoad): boolean {
    const open = this.#context.view.listOpenTargets(this.#routed.service.name);
    const isSplit = targets + limited + held < open.length;
    return isSplit || (this.#recovery?.takeProbe(this.#context.options.clock.monotonicMs()) ?? true);
  }
}
