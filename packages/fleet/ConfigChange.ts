import type { ConfigChangeKind } from "./ConfigChangeKind";
import type { FleetDefaults } from "./FleetDefaults";
import type { FleetException } from "./FleetException";
import type { TargetDrain } from "./TargetDrain";

/** A change of the fleet configuration. */
export type ConfigChange =
  | { readonly kind: ConfigChangeKind.SetDefaults; readonly defaults: FleetDefaults }
  | { readonly kind: ConfigChangeKind.AddException; readonly exception: FleetException }
  | { readonly kind: ConfigChangeKind.RemoveException; readonly exceptionId: string; readonly reason: string }
  | { readonly kind: ConfigChangeKind.DrainTarget; readonly target: string; readonly drain: TargetDrain }
  | { readonly kind: ConfigChangeKind.UndrainTarget; readonly target: string };
