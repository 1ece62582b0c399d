import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { FleetView } from "./FleetView";

/** Whether another target, or a later incarnation of this one, has its address. */
export function isReplaced(view: FleetView, target: TargetRecord): boolean {
  const { id, address, service, bornMs, isDraining, isLeaving } = target;
  const isSuccessor = (other: TargetRecord): boolean =>
    other.address === address && (other.id !== id || other.bornMs > bornMs);
  return !isDraining && !isLeaving && view.listReadyTargets(service).some(isSuccessor);
}
