import { setTimeout as delay } from "node:timers/promises";
import type { EvacuationChange } from "@clementinemux/control/evacuation/EvacuationChange";
import type { EvacuationProposalResult } from "@clementinemux/control/evacuation/EvacuationProposalResult";
import type { EvacuationReadResponse } from "@clementinemux/control/evacuation/EvacuationReadResponse";
import type { EvacuationState } from "@clementinemux/control/evacuation/EvacuationState";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcClient } from "@clementinemux/wire/RpcClient";
import { parseAddress } from "@clementinemux/wire/parseAddress";
import { CliError } from "./CliError";
import { ExitCode } from "./ExitCode";

const callTimeoutMs = 1000;
const retryIntervalMs = 50;

/**
 * Reads and changes the evacuations through the frame ports of coordinators. A change is conditional on the revision that was
 * read before; if its answer is lost, it is sent again with the same revision, so that it cannot undo a later change.
 */
export class EvacuationClient {
  readonly #clients: readonly RpcClient[];
  readonly #endMs: number;
  #current = 0;
  #calls = 0;
  #lastFailure = "no coordinator is configured";

  /** Throws a RangeError for an invalid address. */
  constructor(addresses: readonly string[], timeoutMs: number) {
    this.#clients = addresses.map((text) => new RpcClient({ address: parseAddress(text) }));
    this.#endMs = performance.now() + timeoutMs;
  }

  /** Reads the state of the leader. Throws a CliError if no coordinator answers with it in time. */
  async list(): Promise<EvacuationState> {
    return (await this.#read(null)).state;
  }

  /** Makes a change. Throws a CliError if it is refused, or not known to be stored in time. */
  async change(change: EvacuationChange): Promise<void> {
    for (;;) {
      const { state: base, isKnown, isComplete } = await this.#read(change.failureDomain);
      if (isKnown) {
        const proposal = { ...change, base, isForwarded: false };
        const calls = this.#calls;
        const result = await this.#call(MessageName.ProposeEvacuation, proposal);
        if ((result as EvacuationProposalResult).isApplied) {
          return;
        }
        if (this.#calls - calls > 1) {
          // An earlier call without an answer may have been applied, and undone by another operator since.
          const text =
            "the outcome is unknown: the evacuations have changed meanwhile, read them and decide anew";
          throw new CliError(ExitCode.Unreachable, text);
        }
      } else if (isComplete) {
        const text = `no target, gateway or coordinator of failure domain "${change.failureDomain}" is known`;
        throw new CliError(ExitCode.Refused, text);
      } else {
        this.#lastFailure = "the coordinator does not know all targets yet";
        this.#switch();
        await delay(retryIntervalMs);
      }
    }
  }

  close(): void {
    for (const client of this.#clients) {
      client.close();
    }
  }

  async #read(failureDomain: string | null): Promise<EvacuationReadResponse> {
    const answer = await this.#call(MessageName.ReadEvacuations, { failureDomain, isForwarded: false });
    return answer as EvacuationReadResponse;
  }

  /** Calls one coordinator after the other until one answers. */
  async #call(name: MessageName, body: unknown): Promise<unknown> {
    for (;;) {
      const client = this.#clients[this.#current % this.#clients.length];
      const leftMs = this.#endMs - performance.now();
      if (client === undefined || leftMs <= 0) {
        throw new CliError(ExitCode.Unreachable, `no answer in time; last failure: ${this.#lastFailure}`);
      }
      this.#calls += 1;
      const result = await client.call(name, body, Math.min(callTimeoutMs, leftMs));
      if (result.isRight()) {
        return result.extract();
      }
      result.ifLeft(({ message }) => {
        this.#lastFailure = `${client.address.host}:${client.address.port}: ${message}`;
      });
      this.#switch();
      await delay(retryIntervalMs);
    }
  }

  #switch(): void {
    this.#current += 1;
  }
}
