import type { CancelClaimRequest } from "@clementinemux/messages/CancelClaimRequest";
import type { ClaimRequest } from "@clementinemux/messages/ClaimRequest";
import type { CompleteClaimRequest } from "@clementinemux/messages/CompleteClaimRequest";
import type { ClaimCommandKind } from "./ClaimCommandKind";

interface Timing {
  /** Wall-clock time of the leader when it proposed the command. */
  readonly nowMs: number;
  readonly claimRetentionMs: number;
  readonly tombstoneRetentionMs: number;
}

/** Command of a claim group's log. */
export type ClaimCommand = Timing &
  (
    | { readonly kind: ClaimCommandKind.Claim; readonly request: ClaimRequest }
    | { readonly kind: ClaimCommandKind.Complete; readonly request: CompleteClaimRequest }
    | { readonly kind: ClaimCommandKind.Cancel; readonly request: CancelClaimRequest }
  );
