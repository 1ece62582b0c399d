import type { Clock } from "@clementinemux/common/Clock";
import { getOwn } from "@clementinemux/common/getOwn";
import type { Random } from "@clementinemux/common/Random";
import type { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import type { WaitingDemand } from "@clementinemux/registry/WaitingDemand";
import type { RoutedService } from "@clementinemux/routes/RoutedService";
import { AdmissionQueue } from "./AdmissionQueue";
import type { FleetView } from "./FleetView";
import type { GatewayHandler } from "./GatewayHandler";
import type { GroupRecovery } from "./GroupRecovery";
import { QueueMode } from "./QueueMode";

interface AdmissionQueuesOptions {
  readonly view: FleetView;
  readonly mode: QueueMode;
  readonly clock: Clock;
  readonly random: Random;
  readonly errors: ErrorBoundary<GatewayHandler>;
  readonly isPermitBlocked: () => boolean;
  readonly getRecovery: (service: RoutedService) => GroupRecovery | null;
}

/** The queues of all services of a gateway. Slots are counted for every service, as a new document may bring a queue into force. */
export class AdmissionQueues {
  readonly #options: AdmissionQueuesOptions;
  readonly #queues = new Map<string, AdmissionQueue>();

  constructor(options: AdmissionQueuesOptions) {
    this.#options = options;
  }

  /** Whether requests of a service that find no slot wait in a queue. */
  isInForce(service: string): boolean {
    const { mode, view } = this.#options;
    const isMixed = view.state.table?.hasMixedDemand(service) ?? false;
    return mode === QueueMode.On || (mode === QueueMode.Auto && isMixed);
  }

  get(service: RoutedService): AdmissionQueue {
    const known = this.#queues.get(service.name);
    if (known !== undefined) {
      return known;
    }
    const { view, clock, random, errors, isPermitBlocked, getRecovery } = this.#options;
    const isEvacuated = (): boolean => view.isEvacuated(service.name);
    const findRecovery = (): GroupRecovery | null =>
      getRecovery(view.state.table?.findService(service.name) ?? service);
    const queue = new AdmissionQueue({
      clock,
      random,
      errors,
      isPermitBlocked,
      isEvacuated,
      getRecovery: findRecovery,
    });
    this.#queues.set(service.name, queue);
    this.#report(service.name, queue);
    return queue;
  }

  /** Waiting requests by service and priority, for the coordinators; undefined if there are none. */
  listWaiting(): WaitingDemand | undefined {
    const waiting = [...this.#queues].filter(([, { size }]) => size > 0);
    const counts = waiting.map(([name, queue]) => [name, Object.fromEntries(queue.countWaiting())] as const);
    return counts.length === 0 ? undefined : Object.fromEntries(counts);
  }

  /** The state of the other gateways has arrived. */
  noteReport(): void {
    for (const [name, queue] of this.#queues) {
      if (this.isInForce(name) || queue.size > 0) {
        this.#report(name, queue);
      }
    }
  }

  wake(): void {
    for (const queue of this.#queues.values()) {
      queue.wake();
    }
  }

  /** Ends the waiting requests that are suspected of crashing targets, after new findings. */
  checkSuspects(): void {
    for (const queue of this.#queues.values()) {
      queue.checkSuspects();
    }
  }

  /** Queues of services whose queue is in force or not empty. */
  list(): readonly { readonly service: string; readonly queue: AdmissionQueue }[] {
    return [...this.#queues]
      .map(([service, queue]) => ({ service, queue }))
      .filter(({ service, queue }) => queue.size > 0 || this.isInForce(service));
  }

  /** Removes the queues of services that no document lists and that have no requests. */
  retain(): void {
    const { table } = this.#options.view.state;
    for (const [name, queue] of this.#queues) {
      if (queue.isIdle && table !== null && table.findService(name) === null) {
        queue.close();
        this.#queues.delete(name);
      }
    }
  }

  close(): void {
    for (const queue of this.#queues.values()) {
      queue.close();
    }
  }

  #report(service: string, queue: AdmissionQueue): void {
    queue.noteReport(this.#countOthersInFlight(service), this.#getOthersWaiting(service));
  }

  #countOthersInFlight(service: string): number {
    const { view } = this.#options;
    const counts = view.listOpenTargets(service).map(({ id }) => getOwn(view.state.othersInFlight, id) ?? 0);
    return counts.reduce((sum, count) => sum + count, 0);
  }

  #getOthersWaiting(service: string): ReadonlyMap<number, number> {
    const counts = getOwn(this.#options.view.state.othersWaiting, service) ?? {};
    return new Map(Object.entries(counts).map(([priority, count]) => [Number(priority), count]));
  }
}
