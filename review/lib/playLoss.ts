import { setTimeout as delay } from "node:timers/promises";
import { Client } from "./Client";
import type { Fleet } from "./Fleet";
import type { Recorder } from "./Recorder";
import type { Runner } from "./Runner";
import { findLostRequests } from "./findLostRequests";

interface LossOptions {
  readonly fleet: Fleet;
  readonly recorder: Recorder;
  readonly soundRunners: readonly Runner[];
  /** Called when all machines have been in touch for long enough. */
  readonly disturb: () => Promise<void>;
}

/** `contact_ms` of the sites, with a margin: from then on all machines are in touch. */
const contactMs = 3500;
const watchedMs = 10_000;
const clientsPerGateway = 12;
/** LOST is broken by more than this many requests of one machine. */
const allowedLosses = 3;

/** Sends requests on kept connections to each gateway while a disruption goes on. Resolves with whether LOST held. */
export async function playLoss({ fleet, recorder, soundRunners, disturb }: LossOptions): Promise<boolean> {
  const groups = fleet.callerAddresses.map((gateway, at) =>
    Array.from({ length: clientsPerGateway }, (_, index) => {
      const name = `gateway-${at + 1}-client-${index + 1}`;
      return new Client({ name, gateway, path: "/lookup/a", key: "key-a", deadlineMs: 4000, recorder });
    }),
  );
  const clients = groups.flat();
  const ended = clients.map((client) => client.run());
  await delay(contactMs);
  const sinceMs = recorder.nowMs;
  recorder.note("all machines are in touch");
  await disturb();
  await delay(watchedMs);
  for (const client of clients) {
    client.stop();
  }
  await Promise.all(ended);
  const losses = groups.map((group) => findLostRequests(group, soundRunners, sinceMs));
  for (const [at, lost] of losses.entries()) {
    const { gateway } = fleet.machines[at] ?? {};
    const ends = `ended by itself ${gateway?.ownExits ?? 0} times`;
    recorder.note(
      `gateway-${at + 1}: ${ends}; passed on to a sound runner and lost: ${lost.length} (${lost.join(", ")})`,
    );
  }
  return losses.every((lost) => lost.length <= allowedLosses);
}
