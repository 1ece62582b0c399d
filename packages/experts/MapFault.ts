/** Why a map is invalid and must not be activated. */
export enum MapFault {
  LayerCount = "layer_count",
  ExpertCount = "expert_count",
  ExpertMissing = "expert_missing",
  RankUnknown = "rank_unknown",
  ReplicaRepeated = "replica_repeated",
  SlotsExceeded = "slots_exceeded",
  SharesInvalid = "shares_invalid",
}
