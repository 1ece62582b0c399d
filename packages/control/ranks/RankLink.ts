import type { HeldRank } from "@clementinemux/experts/hold/HeldRank";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import type { RankClient } from "@clementinemux/ranker/RankClient";
import type { RankInspection } from "@clementinemux/ranker/RankInspection";
import { MessageName } from "@clementinemux/wire/MessageName";
import { WireErrorCode } from "@clementinemux/wire/WireErrorCode";
import type { PeerLinks } from "../PeerLinks";

interface RankLinkOptions {
  readonly links: PeerLinks;
  /** Frame address of the process beside the rank. */
  readonly rankerAddress: string;
  /** The rank itself, used when the process beside it does not answer; that way is priced by the platform. */
  readonly direct: RankClient;
}

const inspectTimeoutMs = 200;
const orderTimeoutMs = 250;

/** A lead's way to one rank: through the process beside it, and straight when that process is silent. */
export class RankLink {
  readonly #options: RankLinkOptions;

  constructor(options: RankLinkOptions) {
    this.#options = options;
  }

  async inspect(fence: number, withExperts: boolean): Promise<RankInspection | null> {
    const { links, rankerAddress } = this.#options;
    const body = { fence, withExperts };
    const answer = await links.call(rankerAddress, MessageName.InspectRank, body, inspectTimeoutMs);
    return answer.toMaybe().extractNullable() as RankInspection | null;
  }

  /** State of the rank by its own word, for groups that stand still. */
  inspectDirectly(): Promise<HeldRank | null> {
    return this.#options.direct.inspectState();
  }

  async order(fence: number, order: HoldOrder): Promise<boolean | null> {
    const { links, rankerAddress, direct } = this.#options;
    const answer = await links.call(rankerAddress, MessageName.OrderRank, { fence, order }, orderTimeoutMs);
    const error = answer.swap().toMaybe().extractNullable();
    if (error === null) {
      return answer.extract() as boolean | null;
    }
    // The process beside the rank has answered: it serves another lead.
    return error.code === WireErrorCode.Remote ? false : direct.order(order, fence);
  }
}
