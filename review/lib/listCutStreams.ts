import type { StreamClient } from "./StreamClient";

/** Describes the signed successes that ended as complete before their last event. */
export function listCutStreams(clients: readonly StreamClient[], events: number): string[] {
  return clients
    .flatMap(({ outcomes }) => outcomes)
    .filter((item) => item.status === 200 && item.isSigned && item.isComplete && item.events < events)
    .map((item) => `${item.request} ended as complete after ${item.events} of ${events} events`);
}
