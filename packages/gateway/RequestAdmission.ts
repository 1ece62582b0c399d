import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { FailureTimes } from "./FailureTimes";
import type { GatewayContext } from "./GatewayContext";
import type { GroupRecovery } from "./GroupRecovery";
import type { Guard } from "./Guard";
import { PermitWait } from "./PermitWait";
import type { QueueEnd } from "./QueueEnd";
import { RequestOutcome } from "./RequestOutcome";
import type { RoutedRequest } from "./RoutedRequest";
import type { ServiceLoad } from "./ServiceLoad";
import { SlotCheck } from "./SlotCheck";
import { SlotWait } from "./SlotWait";
import { chooseTarget } from "./chooseTarget";

interface RequestAdmissionOptions {
  readonly context: GatewayContext;
  readonly routed: RoutedRequest;
  readonly endMs: number;
  /** Targets to which the request was already sent. */
  readonly tried: ReadonlySet<string>;
  readonly guard: Guard;
  readonly countSends: () => number;
  /** Ends a request that has ended or may crash its target. Returns whether the request has ended. */
  readonly rejectSuspect: () => boolean;
  /** Takes a retry from the budget, for a request that a target has not run. */
  readonly takeRetry: () => boolean;
  readonly send: (target: TargetRecord) => void;
  readonly fail: (end: RequestOutcome, text: string, times?: FailureTimes) => void;
}

/** Interval between two looks for a slot, for services without a queue. */
const waitPollMs = 20;

/**
 * Finds a slot for one request: at once, after a wait in the queue of the service or, where no queue is in force, by
 * looking for one at intervals. Rejects the request when its wait limit is over.
 */
export class RequestAdmission {
  readonly slots: SlotCheck;
  readonly permits: PermitWait;
  readonly #options: RequestAdmissionOptions;
  readonly #recovery: GroupRecovery | null;
  readonly #wait: SlotWait;
  #timer: NodeJS.Timeout | null = null;

  constructor(options: RequestAdmissionOptions) {
    const { context, routed, endMs, tried, guard } = options;
    this.#options = options;
    this.#recovery = context.getGroupRecovery(routed.service);
    this.slots = new SlotCheck(context, routed, endMs);
    const admit = (): void => {
      this.#startGuarded();
    };
    this.permits = new PermitWait({
      context,
      service: routed.service,
      tried,
      guard,
      admit,
      send: (target) => {
        if (!options.rejectSuspect()) {
          this.#wait.noteSent();
          options.send(target);
        }
      },
    });
    this.#wait = new SlotWait({
      context,
      routed,
      guard,
      admit,
      slots: this.slots,
      permits: this.permits,
      isResent: () => options.countSends() > 0,
      rejectSuspect: options.rejectSuspect,
      chooseTarget: () => this.chooseTarget(),
      send: (target) => {
        this.#sendFromQueue(target);
      },
      reject: (waitMs) => {
        this.#reject(waitMs);
      },
    });
  }

  /** Load of the service at the last look for a slot; null before the first one. */
  get load(): ServiceLoad | null {
    return this.slots.load;
  }

  /** How the request left the queue; null if it was not in it. */
  get queueEnd(): QueueEnd | null {
    return this.#wait.end;
  }

  /** Sends the request when a slot is free; waits a short while for one, as its objective allows. */
  start(): void {
    const { context, routed, countSends, rejectSuspect } = this.#options;
    if (rejectSuspect() || (countSends() === 0 && this.permits.probe())) {
      return;
    }
    if (context.admissions.isInForce(routed.service.name)) {
      this.#wait.enter();
    } else {
      this.#look();
    }
  }

  chooseTarget(): TargetRecord | null {
    const { context, routed, tried, countSends } = this.#options;
    const choice = { request: routed, tried, isFirst: countSends() === 0, serviceLoad: this.slots.load };
    return chooseTarget(context, choice);
  }

  /** A target has accepted the request, so that a recovering group accepts those that wait as well. */
  noteAccepted(): void {
    const { context, routed } = this.#options;
    const wasRecovering = this.#recovery?.isRecovering === true;
    this.#recovery?.noteAccepted();
    if (wasRecovering) {
      context.admissions.get(routed.service).wake();
    }
  }

  /** Ends all waits, as the request has ended. */
  cancel(): void {
    clearTimeout(this.#timer ?? undefined);
    this.permits.cancel();
    this.#wait.cancel();
  }

  #startGuarded(): void {
    this.#options.guard(() => {
      this.start();
    });
  }

  /** Looks for a slot, and looks again after a while if there is none. */
  #look(): void {
    const { context, countSends, takeRetry } = this.#options;
    const waitLeftMs = this.slots.getWaitLeftMs();
    const hasSlot = this.slots.hasSlot();
    const candidates = hasSlot || countSends() > 0 ? [] : this.permits.listCandidates(waitLeftMs);
    const { hasLimitedTargetsOnly, isEvacuated } = this.slots;
    const isRefused = isEvacuated || (hasLimitedTargetsOnly && !context.permits.isBlocked);
    const isHopeless = isRefused || waitLeftMs <= (this.slots.load?.pauseMs ?? 0);
    if (candidates.length > 0) {
      this.permits.take(candidates, waitLeftMs);
    } else if (hasSlot || isHopeless) {
      this.#sendOrReject(hasSlot && (countSends() === 0 || takeRetry()));
    } else {
      this.#timer = setTimeout(() => {
        this.#startGuarded();
      }, waitPollMs);
    }
  }

  #sendOrReject(maySend: boolean): void {
    const target = maySend ? this.chooseTarget() : null;
    if (target === null) {
      this.#reject(null);
    } else {
      this.#options.send(target);
    }
  }

  #sendFromQueue(target: TargetRecord): void {
    const { countSends, rejectSuspect, takeRetry, send } = this.#options;
    if (rejectSuspect()) {
      return;
    }
    if (countSends() === 0 || takeRetry()) {
      send(target);
    } else {
      this.#reject(null);
    }
  }

  /** `queueWaitMs` is the time until a slot is likely to be free, as far as the queue knows it. */
  #reject(queueWaitMs: number | null): void {
    const isFull = this.#options.countSends() === 0 && this.#recovery?.isRecovering !== true;
    const end = isFull ? this.slots.fullOutcome : RequestOutcome.Rejected;
    this.#options.fail(end, "no target has a free slot", { queueWaitMs });
  }
}
