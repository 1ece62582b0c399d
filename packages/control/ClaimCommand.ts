import type { CancelClaimRequest } from "@clementinemux/messages/CancelClaimRequest";
import type { ClaimRequest } from "@clementinemux/messages/ClaimRequest";
import type { CompleteClaimRequest } from "@clementinemux/messages/CompleteClaimRequest";
import type { ClaimCommandKind } from "./ClaimCommandKind";

interface Timing {
  /** Leader's time when it proposed the command. */
  readonly nowMs: number;
  readonly claimRetentionMs: number;
  readonly tombstoneRetentionMs: number;
}

/** Command in the log of a claim group. */
export type ClaimCommand = Timing &
  (
    | { readonly kind: ClaimCommandKind.Claim; readonly request: ClaimRequest }
    | { readonly kind: ClaimCommandKind.Complete; readonly request: CompleteClaimRequest }
    | { readonly kind: ClaimCommandKind.Cancel; readonly request: CancelClaimRequest }
  );
