import { buildId } from "@clementinemux/common/buildId";
import type { EntryRegistry } from "@clementinemux/registry/EntryRegistry";
import type { TargetRegistry } from "@clementinemux/registry/TargetRegistry";
import type { ReplicatedGroup } from "../ReplicatedGroup";
import type { CoordinatorStatus } from "./CoordinatorStatus";
import type { RouteStateMachine } from "./RouteStateMachine";

interface StatusInput {
  /** Null until the coordinator has started. */
  readonly group: ReplicatedGroup | null;
  readonly targetVoters: number;
  readonly machine: RouteStateMachine;
  readonly targets: TargetRegistry;
  readonly entries: EntryRegistry;
  readonly ageMs: number | null;
  readonly nowMs: number;
}

/** Reads the state of a coordinator. */
export function readStatus({
  group,
  targetVoters,
  machine,
  ageMs,
  nowMs,
  ...registries
}: StatusInput): CoordinatorStatus {
  const core = group?.core ?? null;
  const { revision, failureDomains } = machine.evacuations.state;
  return {
    build: buildId,
    role: core?.role ?? null,
    term: core?.term ?? null,
    commitIndex: core?.commitIndex ?? null,
    appliedIndex: core?.appliedIndex ?? null,
    logEntries: core === null ? null : core.lastIndex - core.firstIndex + 1,
    isVoter: core !== null && core.id in core.membership.voters,
    voters: Object.keys(core?.membership.voters ?? {}).length,
    targetVoters,
    isReplacement: group?.isReplacement === true,
    documentVersion: machine.version,
    ageMs,
    targets: registries.targets.list(nowMs).length,
    coldTargets: registries.targets.countCold(nowMs),
    recordedEnds: machine.ends.size,
    entries: registries.entries.countLive(nowMs),
    evacuationRevision: revision,
    recordedFailureDomains: machine.failureDomains.names.length,
    evacuatedFailureDomains: failureDomains,
  };
}
