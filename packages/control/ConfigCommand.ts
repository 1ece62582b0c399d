import type { DecideMapRequest } from "@clementinemux/messages/DecideMapRequest";
import type { GroupLeaseRequest } from "@clementinemux/messages/GroupLeaseRequest";
import type { ProposeRequest } from "@clementinemux/messages/ProposeRequest";
import type { ConfigCommandKind } from "./ConfigCommandKind";

/** Command of the `config` group's log. Times are those of the leader when it proposed the command. */
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
      /** Epoch whose lease the leader has seen expire; null if there was no lease. */
      readonly endedEpoch: number | null;
    }
  | { readonly kind: ConfigCommandKind.DecideMap; readonly request: DecideMapRequest };
