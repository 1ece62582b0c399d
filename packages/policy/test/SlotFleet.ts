import type { Random } from "@clementinemux/common/Random";
import { chooseByFreeSlots } from "@clementinemux/gateway/chooseByFreeSlots";
import { selectFreed } from "@clementinemux/gateway/selectFreed";
import { SlotQueue } from "@clementinemux/policy/admission/SlotQueue";
import type { SlotRequest } from "@clementinemux/policy/admission/SlotRequest";

export interface Arrival {
  readonly atMs: number;
  readonly gateway: number;
  readonly priority: number;
  readonly team: string;
  /** Longest time that the request waits for a slot. */
  readonly waitLimitMs: number;
  /** Time for which the request occupies a slot. */
  readonly slotMs: number;
}

interface FleetOptions {
  readonly gateways: number;
  readonly targets: number;
  readonly slots: number;
  /** Whether gateways queue requests; otherwise they look for a slot every 20 ms. */
  readonly hasQueue: boolean;
  readonly random: Random;
}

interface FleetRequest extends SlotRequest {
  readonly arrival: Arrival;
}

export interface Served {
  readonly arrival: Arrival;
  /** Time until the request ran in a slot, with the wait in the target's own queue; null for a rejected one. */
  readonly waitMs: number | null;
  /** Time until the request was sent or rejected. */
  readonly heldMs: number;
}

interface Target {
  running: number;
  readonly backlog: (() => void)[];
}

interface Report {
  readonly inFlight: readonly number[];
  readonly waiting: ReadonlyMap<number, number>;
}

interface GatewayState {
  readonly queue: SlotQueue<FleetRequest>;
  readonly own: number[];
  others: number[];
  /** Requests in flight by target at the last report. */
  reportedOwn: number[];
  othersWaiting: Map<number, number>;
  /** What the coordinators know of this gateway. */
  reported: Report;
}

const reportMs = 200;
/** A report reaches the other gateways' coordinators within this time, so that it is 0.5 s old at most when used. */
const spreadMs = 300;
const pollMs = 20;

/** Plays arrivals at a service with several gateways that see each other late. Has no network and its own time. */
export class SlotFleet {
  readonly results: Served[] = [];
  /** Requests that had to wait at a target, since all of its slots were in use. */
  overruns = 0;
  busyMs = 0;
  readonly #options: FleetOptions;
  readonly #targets: Target[];
  readonly #gateways: GatewayState[];
  readonly #events = new Map<number, (() => void)[]>();
  #nowMs = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#targets = Array.from({ length: options.targets }, () => ({ running: 0, backlog: [] }));
    this.#gateways = Array.from({ length: options.gateways }, () => ({
      queue: new SlotQueue<FleetRequest>(options.random),
      own: this.#targets.map(() => 0),
      others: this.#targets.map(() => 0),
      reportedOwn: this.#targets.map(() => 0),
      othersWaiting: new Map<number, number>(),
      reported: { inFlight: this.#targets.map(() => 0), waiting: new Map<number, number>() },
    }));
  }

  /** Plays all arrivals until `endMs`; times are rounded to a ms. */
  play(arrivals: readonly Arrival[], endMs: number): void {
    for (const arrival of arrivals) {
      this.#at(arrival.atMs, () => {
        this.#arrive(arrival);
      });
    }
    for (const gateway of this.#gateways) {
      this.#at(this.#options.random() * reportMs, () => {
        this.#report(gateway);
      });
    }
    for (; this.#nowMs < endMs; this.#nowMs += 1) {
      for (const action of this.#events.get(this.#nowMs) ?? []) {
        action();
      }
      this.#events.delete(this.#nowMs);
    }
  }

  #at(timeMs: number, action: () => void): void {
    const atMs = Math.max(this.#nowMs + 1, Math.round(timeMs));
    const known = this.#events.get(atMs) ?? [];
    known.push(action);
    this.#events.set(atMs, known);
  }

  #report(gateway: GatewayState): void {
    const report = { inFlight: [...gateway.own], waiting: gateway.queue.countWaiting() };
    this.#at(this.#nowMs + this.#options.random() * spreadMs, () => {
      gateway.reported = report;
    });
    gateway.others = this.#targets.map(() => 0);
    gateway.reportedOwn = [...gateway.own];
    gateway.othersWaiting = new Map();
    for (const { reported } of this.#gateways.filter((other) => other !== gateway)) {
      reported.inFlight.forEach((count, index) => {
        gateway.others[index] = (gateway.others[index] ?? 0) + count;
      });
      for (const [priority, count] of reported.waiting) {
        gateway.othersWaiting.set(priority, (gateway.othersWaiting.get(priority) ?? 0) + count);
      }
    }
    const othersInFlight = gateway.others.reduce((sum, count) => sum + count, 0);
    gateway.queue.noteReport(othersInFlight, gateway.othersWaiting, this.#nowMs);
    this.#pump(gateway);
    this.#at(this.#nowMs + reportMs, () => {
      this.#report(gateway);
    });
  }

  #arrive(arrival: Arrival): void {
    const gateway = this.#gateways[arrival.gateway];
    if (gateway === undefined) {
      return;
    }
    if (!this.#options.hasQueue) {
      this.#poll(gateway, arrival);
      return;
    }
    const { priority, team, slotMs, waitLimitMs } = arrival;
    const request: FleetRequest = {
      arrival,
      requestClass: priority,
      classWeight: 1,
      team,
      teamWeight: 1,
      costMs: slotMs,
      enteredAtMs: this.#nowMs,
      dueAtMs: this.#nowMs + waitLimitMs,
    };
    gateway.queue.push(request, this.#nowMs);
    this.#pump(gateway);
    this.#at(request.dueAtMs, () => {
      if (gateway.queue.remove(request)) {
        this.#reject(arrival);
      }
    });
  }

  /** Looks for a slot every 20 ms until the wait limit, as gateways do without a queue. */
  #poll(gateway: GatewayState, arrival: Arrival): void {
    const hasSlot = this.#countFree(gateway) > 0;
    const target = hasSlot ? this.#choose(gateway) : null;
    if (target !== null) {
      this.#send(gateway, arrival, target);
    } else if (hasSlot || this.#nowMs - arrival.atMs >= arrival.waitLimitMs) {
      this.#reject(arrival);
    } else {
      this.#at(this.#nowMs + pollMs, () => {
        this.#poll(gateway, arrival);
      });
    }
  }

  #pump(gateway: GatewayState): void {
    const { queue } = gateway;
    for (;;) {
      const targets: number[] = [];
      const request = queue.pop((item) => {
        const mayTake = queue.mayTake(item, this.#countFree(gateway), this.#nowMs);
        const target = mayTake ? this.#choose(gateway) : null;
        targets.push(...(target === null ? [] : [target]));
        return target !== null;
      });
      const [target] = targets;
      if (request === null || target === undefined) {
        break;
      }
      this.#send(gateway, request.arrival, target);
    }
    for (const request of queue.listHopeless(this.#countFree(gateway), this.#nowMs)) {
      queue.remove(request);
      this.#reject(request.arrival);
    }
  }

  #countFree({ own, others }: GatewayState): number {
    const load = own.reduce((sum, count, index) => sum + count + (others[index] ?? 0), 0);
    return this.#targets.length * this.#options.slots - load;
  }

  #choose({ own, others, reportedOwn }: GatewayState): number | null {
    const { slots, random, hasQueue } = this.#options;
    const candidates = own.map((count, index) => ({
      id: String(index),
      slots,
      load: count + (others[index] ?? 0),
      weight: 1,
      isNear: false,
      hasFreed: count < (reportedOwn[index] ?? 0),
    }));
    const id = chooseByFreeSlots(hasQueue ? selectFreed(candidates) : candidates, 0, random);
    return id === null ? null : Number(id);
  }

  #reject(arrival: Arrival): void {
    this.results.push({ arrival, waitMs: null, heldMs: this.#nowMs - arrival.atMs });
  }

  #send(gateway: GatewayState, arrival: Arrival, index: number): void {
    const target = this.#targets[index];
    const heldMs = this.#nowMs - Math.round(arrival.atMs);
    gateway.own[index] = (gateway.own[index] ?? 0) + 1;
    gateway.queue.noteTaken();
    const sentAtMs = this.#nowMs;
    const run = (): void => {
      this.results.push({ arrival, waitMs: this.#nowMs - Math.round(arrival.atMs), heldMs });
      this.busyMs += arrival.slotMs;
      this.#at(this.#nowMs + arrival.slotMs, () => {
        this.#runNext(target);
        gateway.own[index] = (gateway.own[index] ?? 0) - 1;
        gateway.queue.noteFreed(this.#nowMs - sentAtMs);
        this.#pump(gateway);
      });
    };
    if (target !== undefined && target.running >= this.#options.slots) {
      this.overruns += 1;
      target.backlog.push(run);
    } else if (target !== undefined) {
      target.running += 1;
      run();
    }
  }

  /** Gives the slot of a target that has become free to the request that waits there the longest. */
  #runNext(target: Target | undefined): void {
    const next = target?.backlog.shift();
    if (next !== undefined) {
      next();
    } else if (target !== undefined) {
      target.running -= 1;
    }
  }
}
