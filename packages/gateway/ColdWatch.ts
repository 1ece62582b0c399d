import type { Counters } from "@clementinemux/metrics/Counters";
import type { ColdTarget } from "@clementinemux/registry/ColdTarget";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { defaultColdBounds } from "@clementinemux/routes/defaultColdBounds";
import { ColdTargets } from "./ColdTargets";
import type { ColdPermitOutcome } from "./ColdPermitOutcome";
import type { FleetView } from "./FleetView";
import type { GatewayOptions } from "./GatewayOptions";
import { TargetRamps } from "./TargetRamps";

/** Keeps what the gateway knows of cold targets and of ramps, by its clock, and logs the changes. */
export class ColdWatch {
  readonly targets: ColdTargets;
  readonly ramps: TargetRamps;
  readonly outcomes: Counters<ColdPermitOutcome>;
  readonly #view: FleetView;
  readonly #options: GatewayOptions;

  constructor(view: FleetView, options: GatewayOptions, outcomes: Counters<ColdPermitOutcome>) {
    this.outcomes = outcomes;
    this.#view = view;
    this.#options = options;
    this.ramps = new TargetRamps({ getLiveEntries: () => view.state.liveEntries, random: options.random });
    this.targets = new ColdTargets({
      getColdStart: (service) => view.state.table?.findService(service)?.coldStart ?? null,
      bounds: options.coldBounds ?? defaultColdBounds,
      ramps: this.ramps,
    });
  }

  /** Gauges for the metrics page. */
  get gauges(): Readonly<Record<string, number>> {
    return {
      clementinemux_gateway_cold_targets: this.targets.size,
      clementinemux_gateway_ramping_targets: this.ramps.size,
    };
  }

  getRatePerS(target: TargetRecord): number | null {
    return this.targets.getRatePerS(target, this.#now());
  }

  listIds(): ReadonlySet<string> {
    return this.targets.listIds();
  }

  /** Applies the cold targets of a report; undefined from coordinators of earlier releases. */
  update(cold: readonly ColdTarget[] | undefined): void {
    const { clock, logger } = this.#options;
    const { targets } = this.#view.state;
    const times = { wallMs: clock.wallMs(), nowMs: this.#now() };
    for (const { id, leftMs } of this.targets.update({ targets, cold: cold ?? null, ...times })) {
      logger.info({ target: id, leftMs }, leftMs > 0 ? "target is cold" : "target is warm");
    }
  }

  /** Removes what is over or not needed any more. */
  retain(): void {
    const ids = new Set(this.#view.state.targets.map(({ id }) => id));
    this.ramps.retain(ids, this.#now());
  }

  #now(): number {
    return this.#options.leaseClock.monotonicMs();
  }
}
