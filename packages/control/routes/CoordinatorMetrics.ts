import { HoldOrderKind } from "@clementinemux/experts/hold/HoldOrderKind";
import { Counters } from "@clementinemux/metrics/Counters";
import { TimeHistogram } from "@clementinemux/metrics/TimeHistogram";
import { renderCounters } from "@clementinemux/metrics/renderCounters";
import { OrderOutcome } from "@clementinemux/ranker/OrderOutcome";
import { EndOutcome } from "../ends/EndOutcome";
import { EvacuationOutcome } from "../evacuation/EvacuationOutcome";
import { PermitOutcome } from "../limits/PermitOutcome";
import { MapOutcome } from "../ranks/MapOutcome";
import { DocumentOutcome } from "./DocumentOutcome";

/** Metrics of a coordinator. */
export class CoordinatorMetrics {
  readonly documents = new Counters(
    "clementinemux_coordinator_documents",
    "outcome",
    Object.values(DocumentOutcome),
  );
  readonly ends = new Counters("clementinemux_coordinator_target_ends", "outcome", Object.values(EndOutcome));
  readonly evacuations = new Counters(
    "clementinemux_coordinator_evacuation_calls",
    "outcome",
    Object.values(EvacuationOutcome),
  );
  /** Requests for permits of limited targets that this process answered as the leader. */
  readonly permits = new Counters(
    "clementinemux_coordinator_permits",
    "outcome",
    Object.values(PermitOutcome),
  );
  /** Those of them that named a cold target. */
  readonly coldPermits = new Counters(
    "clementinemux_coordinator_cold_permits",
    "outcome",
    Object.values(PermitOutcome),
  );
  readonly maps = new Counters("clementinemux_coordinator_maps", "outcome", Object.values(MapOutcome));
  readonly orders = new Counters("clementinemux_coordinator_orders", "outcome", Object.values(OrderOutcome));
  readonly refusedOrders = new Counters(
    "clementinemux_coordinator_refused_orders",
    "kind",
    Object.values(HoldOrderKind),
  );
  /** From the receipt of a document to its acknowledgement. */
  readonly acknowledgements = new TimeHistogram("clementinemux_coordinator_acknowledgement_seconds");
  /** From the plan of a map until it is active on all ranks. */
  readonly activations = new TimeHistogram("clementinemux_coordinator_activation_seconds");

  render(): string {
    return [
      renderCounters(this.documents),
      renderCounters(this.ends),
      renderCounters(this.evacuations),
      renderCounters(this.permits),
      renderCounters(this.coldPermits),
      renderCounters(this.maps),
      renderCounters(this.orders),
      renderCounters(this.refusedOrders),
      this.acknowledgements.render(),
      this.activations.render(),
    ].join("");
  }
}
