import * as z from "zod";
import type { Clock } from "@clementinemux/common/Clock";
import type { FleetDefaults } from "@clementinemux/fleet/FleetDefaults";
import { ClaimCommandKind } from "./ClaimCommandKind";
import type { ClaimStateMachine } from "./ClaimStateMachine";
import { ControlError } from "./ControlError";
import { ControlErrorCode } from "./ControlErrorCode";
import type { ReplicatedGroup } from "./ReplicatedGroup";
import { getClaimGroup } from "./getClaimGroup";

interface ClaimServiceOptions {
  readonly find: (group: string) => { readonly group: ReplicatedGroup; readonly machine: ClaimStateMachine };
  readonly claimGroups: number;
  readonly clock: Clock;
  readonly getDefaults: () => FleetDefaults;
}

const text = z.string().min(1).max(512);
const claimant = z.strictObject({ entry: text, incarnation: text });
const teamKey = { team: text, key: text };
const attempt = z.number().int().min(1);
// A log entry with this response has to fit into one frame.
const maxAnswerBytes = 262_144;
const answer = z.strictObject({
  status: z.number().int().min(100).max(599),
  contentType: z.string().max(256),
  body: z.instanceof(Uint8Array).refine((bytes) => bytes.length <= maxAnswerBytes, "is too large"),
});

const schemas = {
  [ClaimCommandKind.Claim]: z.strictObject({
    ...teamKey,
    bodyDigest: text,
    claimant,
    requestId: text,
    createdAtMs: z.number().int().min(0).nullable(),
  }),
  [ClaimCommandKind.Complete]: z.strictObject({
    ...teamKey,
    claimant,
    requestId: text,
    attempt,
    answer: answer.nullable(),
  }),
  [ClaimCommandKind.Cancel]: z.strictObject({
    ...teamKey,
    claimant,
    requestId: text,
    attempt: attempt.nullable(),
  }),
};

/** Handles requests to the claim groups that this process leads. */
export class ClaimService {
  readonly #options: ClaimServiceOptions;

  constructor(options: ClaimServiceOptions) {
    this.#options = options;
  }

  /** Commits a claim, its completion or its cancellation. */
  async run(kind: ClaimCommandKind, body: unknown): Promise<unknown> {
    const parsed = schemas[kind].safeParse(body);
    if (!parsed.success) {
      const issue = parsed.error.issues[0];
      throw new ControlError(
        ControlErrorCode.Invalid,
        `${issue?.path.join(".") ?? ""}: ${issue?.message ?? "invalid"}`,
      );
    }
    const request = parsed.data;
    const { group } = this.#getLeader(request);
    const { claimRetentionMs, tombstoneRetentionMs } = this.#options.getDefaults();
    const nowMs = this.#options.clock.wallMs();
    const result = await group.propose({ kind, request, nowMs, claimRetentionMs, tombstoneRetentionMs });
    return result.caseOf({
      Left: (error) => {
        throw error;
      },
      Right: (response) => {
        if (typeof response === "string") {
          throw new ControlError(ControlErrorCode.Refused, response);
        }
        return response;
      },
    });
  }

  lookup(body: unknown): unknown {
    const request = z.object(teamKey).parse(body);
    const { group, machine } = this.#getLeader(request);
    if (!group.hasLease) {
      throw new ControlError(ControlErrorCode.NoLease, "the leader has no valid lease");
    }
    return machine.lookup(request.team, request.key);
  }

  #getLeader({ team, key }: { team: string; key: string }): {
    readonly group: ReplicatedGroup;
    readonly machine: ClaimStateMachine;
  } {
    const found = this.#options.find(getClaimGroup(team, key, this.#options.claimGroups));
    if (!found.group.isLeader) {
      throw found.group.createNotLeaderError();
    }
    return found;
  }
}
