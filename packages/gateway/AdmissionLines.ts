import type { Clock } from "@clementinemux/common/Clock";
import { getOwn } from "@clementinemux/common/getOwn";
import type { Random } from "@clementinemux/common/Random";
import type { ErrorBoundary } from "@clementinemux/metrics/ErrorBoundary";
import type { WaitingDemand } from "@clementinemux/registry/WaitingDemand";
import type { RoutedService } from "@clementinemux/routes/RoutedService";
import { AdmissionLine } from "./AdmissionLine";
import type { FleetView } from "./FleetView";
import type { GatewayHandler } from "./GatewayHandler";
import type { GroupRecovery } from "./GroupRecovery";
import { WaitingLineMode } from "./WaitingLineMode";

interface AdmissionLinesOptions {
  readonly view: FleetView;
  readonly mode: WaitingLineMode;
  readonly clock: Clock;
  readonly random: Random;
  readonly errors: ErrorBoundary<GatewayHandler>;
  readonly isPermitBlocked: () => boolean;
  readonly getRecovery: (service: RoutedService) => GroupRecovery | null;
}

/** The queues of all services of a gateway. Slots are counted for every service, as a new document may bring a queue into force. */
export class AdmissionLines {
  readonly #options: AdmissionLinesOptions;
  readonly #lines = new Map<string, AdmissionLine>();

  constructor(options: AdmissionLinesOptions) {
    this.#options = options;
  }

  /** Whether requests of a service that find no slot wait in a queue. */
  isInForce(service: string): boolean {
    const { mode, view } = this.#options;
    const isMixed = view.state.table?.hasMixedDemand(service) ?? false;
    return mode === WaitingLineMode.On || (mode === WaitingLineMode.Auto && isMixed);
  }

  get(service: RoutedService): AdmissionLine {
    const known = this.#lines.get(service.name);
    if (known !== undefined) {
      return known;
    }
    const { view, clock, random, errors, isPermitBlocked, getRecovery } = this.#options;
    const isEvacuated = (): boolean => view.isEvacuated(service.name);
    const recovery = getRecovery(service);
    const line = new AdmissionLine({ clock, random, errors, isPermitBlocked, isEvacuated, recovery });
    this.#lines.set(service.name, line);
    this.#report(service.name, line);
    return line;
  }

  /** Waiting requests by service and priority, for the coordinators; undefined if there are none. */
  listWaiting(): WaitingDemand | undefined {
    const waiting = [...this.#lines].filter(([, { size }]) => size > 0);
    const counts = waiting.map(([name, line]) => [name, Object.fromEntries(line.countWaiting())] as const);
    return counts.length === 0 ? undefined : Object.fromEntries(counts);
  }

  /** The state of the other gateways has arrived. */
  noteReport(): void {
    for (const [name, line] of this.#lines) {
      if (this.isInForce(name) || line.size > 0) {
        this.#report(name, line);
      }
    }
  }

  wake(): void {
    for (const line of this.#lines.values()) {
      line.wake();
    }
  }

  /** Ends the waiting requests that are suspected of crashing targets, after new findings. */
  checkSuspects(): void {
    for (const line of this.#lines.values()) {
      line.checkSuspects();
    }
  }

  /** Lines of services whose queue is in force or not empty. */
  list(): readonly { readonly service: string; readonly line: AdmissionLine }[] {
    return [...this.#lines]
      .map(([service, line]) => ({ service, line }))
      .filter(({ service, line }) => line.size > 0 || this.isInForce(service));
  }

  /** Removes the lines of services that no document lists and that have no requests. */
  retain(): void {
    const { table } = this.#options.view.state;
    for (const [name, line] of this.#lines) {
      if (line.isIdle && table !== null && table.findService(name) === null) {
        line.close();
        this.#lines.delete(name);
      }
    }
  }

  close(): void {
    for (const line of this.#lines.values()) {
      line.close();
    }
  }

  #report(service: string, line: AdmissionLine): void {
    line.noteReport(this.#countOthersInFlight(service), this.#getOthersWaiting(service));
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
