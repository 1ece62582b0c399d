/** What a target serves. */
export enum TargetKind {
  Engine = "engine",
  Service = "service",
}
