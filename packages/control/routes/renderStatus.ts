import { renderGauges } from "@clementinemux/metrics/renderGauges";
import { renderLabeledGauge } from "@clementinemux/metrics/renderLabeledGauge";
import type { CoordinatorStatus } from "./CoordinatorStatus";

const msPerS = 1000;

/** Renders the state of a coordinator as gauges in Prometheus text format, with the evacuated failure domains as labels. */
export function renderStatus(status: CoordinatorStatus): string {
  const { role, term, isVoter, voters, targetVoters, commitIndex, appliedIndex, documentVersion, ageMs } =
    status;
  const gauges = renderGauges({
    clementinemux_coordinator_leader: role === "leader" ? 1 : 0,
    clementinemux_coordinator_term: term,
    clementinemux_coordinator_voter: isVoter ? 1 : 0,
    clementinemux_coordinator_voters: voters,
    clementinemux_coordinator_target_voters: targetVoters,
    clementinemux_coordinator_replacement: status.isReplacement ? 1 : 0,
    clementinemux_coordinator_commit_index: commitIndex,
    clementinemux_coordinator_applied_index: appliedIndex,
    clementinemux_coordinator_log_entries: status.logEntries,
    clementinemux_coordinator_document_version: documentVersion,
    clementinemux_coordinator_knowledge_age_seconds: ageMs === null ? null : ageMs / msPerS,
    clementinemux_coordinator_targets: status.targets,
    clementinemux_coordinator_cold_targets: status.coldTargets,
    clementinemux_coordinator_recorded_ends: status.recordedEnds,
    clementinemux_coordinator_gateways: status.entries,
    clementinemux_coordinator_evacuation_revision: status.evacuationRevision,
    clementinemux_coordinator_recorded_failure_domains: status.recordedFailureDomains,
    clementinemux_coordinator_evacuated_failure_domains: status.evacuatedFailureDomains.length,
  });
  const evacuated = status.evacuatedFailureDomains.map((failureDomain) => [failureDomain, 1] as const);
  return gauges + renderLabeledGauge("clementinemux_coordinator_evacuated", "failure_domain", evacuated);
}
