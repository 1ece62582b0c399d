import type { DecideMapRequest } from "@clementinemux/messages/DecideMapRequest";
import type { GroupLeaseRequest } from "@clementinemux/messages/GroupLeaseRequest";
import type { ProposeRequest } from "@clementinemux/messages/ProposeRequest";
import type { ConfigCommandKind } from "./ConfigCommandKind";

/** Command in the log of the `config` group. Times are the leader's when it proposed the command. */
export type ConfigCommand =
  | { readonly kind: ConfigCommandKind.Propose; readonly nowMs: number; readonly request: ProposeRequest }
  | {
      readonly kind: ConfigCommandKind.ExpireException;
      readonly nowMs: number;
      readonly exceptionId: string;
      readonly expiresAtMs: number;
    }
  | {
      readonly kind: ConfigCommandKind.GroupLease;
      readonly request: GroupLeaseRequest;
      /** Epoch that the leader has seen end; null while the present lease runs. */
      readonly endedEpoch: number | null;
    }
  | { readonly kind: ConfigCommandKind.DecideMap; readonly request: DecideMapRequest };
