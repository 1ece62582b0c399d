import type { Random } from "@clementinemux/common/Random";
import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";
import type { HoldOrder } from "@clementinemux/experts/hold/HoldOrder";
import type { RankFencingToken } from "@clementinemux/experts/hold/RankFencingToken";
import type { SimulatedTime } from "@clementinemux/experts/test/SimulatedTime";
import type { InspectionPart } from "@clementinemux/ranker/InspectionPart";
import type { RankInspection } from "@clementinemux/ranker/RankInspection";
import type { RankEndpoints } from "@clementinemux/ranker/RankEndpoints";
import type { RankChannel } from "@clementinemux/ranker/RankChannel";
import type { StandInRankChannel } from "./StandInRankChannel";
import type { StandInProcess } from "./StandInProcess";

interface DelayedRankChannelOptions {
  readonly channel: StandInRankChannel;
  /** Process that uses the channel. */
  readonly process: StandInProcess;
  readonly time: SimulatedTime;
  readonly random: Random;
}

const usualDelayMs = 12;
/** Share of messages that are delayed as by a short stall of an instance. */
const slowShare = 0.05;
const slowDelayMs = 300;
const lostOrderShare = 0.1;
/** Share of the orders without a response that are executed nevertheless, within `latestMs`. */
const lateShare = 0.7;
const latestMs = 4000;
const orderTimeoutMs = 75;
const inspectTimeoutMs = 200;
const lostResponseShare = 0.05;
const silentShare = 0.02;

/** Channel to a rank of a stand-in group that delays and loses messages. */
export class DelayedRankChannel implements RankChannel {
  readonly #options: DelayedRankChannelOptions;

  constructor(options: DelayedRankChannelOptions) {
    this.#options = options;
  }

  get endpoints(): RankEndpoints {
    return this.#options.channel.endpoints;
  }

  inspect(term: number, part: InspectionPart): Promise<RankInspection | null> {
    return this.#query((channel) => channel.inspect(term, part));
  }

  inspectDirectly(): Promise<RankHoldState | null> {
    return this.#query((channel) => channel.inspectDirectly());
  }

  readActiveExpertsDirectly(version: number): Promise<readonly (readonly number[])[] | null> {
    return this.#query((channel) => channel.readActiveExpertsDirectly(version));
  }

  readPreparedDigestDirectly(): Promise<number | null> {
    return this.#query((channel) => channel.readPreparedDigestDirectly());
  }

  async order({ value: number }: RankFencingToken, order: HoldOrder): Promise<boolean | null> {
    const { channel, process, time, random } = this.#options;
    const carryOut = (): boolean | null => channel.execute(number, order);
    if (random() < lostOrderShare) {
      if (random() < lateShare) {
        void time.sleep(random() * latestMs).then(carryOut);
      }
      await process.sleep(orderTimeoutMs);
      return null;
    }
    const response = await this.#call(orderTimeoutMs, () => Promise.resolve(carryOut()));
    return random() < lostResponseShare ? null : response;
  }

  async #query<Response>(
    query: (channel: StandInRankChannel) => Promise<Response | null>,
  ): Promise<Response | null> {
    const { channel, process, random } = this.#options;
    if (random() < silentShare) {
      await process.sleep(inspectTimeoutMs);
      return null;
    }
    return this.#call(inspectTimeoutMs, () => query(channel));
  }

  /**
   * The message is delivered independently of the process; one that stalls meanwhile gets the response
   * afterwards.
   */
  async #call<Response>(
    timeoutMs: number,
    carryOut: () => Promise<Response | null>,
  ): Promise<Response | null> {
    const { process, time } = this.#options;
    const [sendMs, returnMs] = [this.#getDelayMs(), this.#getDelayMs()];
    const response = time.sleep(sendMs).then(carryOut);
    if (sendMs + returnMs > timeoutMs) {
      await process.sleep(timeoutMs);
      return null;
    }
    await process.sleep(sendMs + returnMs);
    return response;
  }

  #getDelayMs(): number {
    const { random } = this.#options;
    return 1 + random() * (random() < slowShare ? slowDelayMs : usualDelayMs);
  }
}
