import type { IncomingMessage } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { Runner } from "../lib/Runner";
import { StreamClient } from "../lib/StreamClient";
import { answerStream } from "../lib/answerStream";
import { createConfig } from "../lib/createConfig";
import { listCutStreams } from "../lib/listCutStreams";
import { runCase } from "../lib/runCase";

const soundIds: readonly string[] = ["i-1", "i-2", "i-3"];
/** Half of the runners leave out the length of one in 50 of their answers. */
const faultyIds: readonly string[] = ["i-4", "i-5", "i-6"];
const answersPerUnframed = 50;
const eventsPerStream = 24;
const eventMs = 80;
const clientsPerGateway = 8;
const contactMs = 3500;
/** How long after the start of an answer without length its gateway is killed. */
const killAfterMs = 800;
const restartAfterMs = 500;
const longestWaitMs = 40_000;
const watchedMs = 4000;

await runCase(async ({ fleet, recorder, hasTrouble }) => {
  let answers = 0;
  let isWatching = false;
  let onUnframed: (request: string) => void = () => undefined;
  const answerSoundly = (request: IncomingMessage): boolean => {
    answerStream(request, { events: eventsPerStream, eventMs, isFramed: true, resetAfter: null });
    return true;
  };
  const answerFaultily = (request: IncomingMessage): boolean => {
    answers += isWatching ? 1 : 0;
    const isFramed = !isWatching || answers % answersPerUnframed !== 0;
    if (!isFramed) {
      const attempt = String(request.headers["attempt-id"]);
      recorder.note(`the answer to ${attempt} has no length`);
      onUnframed(attempt);
    }
    answerStream(request, { events: eventsPerStream, eventMs, isFramed, resetAfter: null });
    return true;
  };
  const place = { service: "stock", workMs: 50, control: fleet.controlAddresses, recorder };
  const runners = [
    ...soundIds.map((id) => new Runner({ id, ...place, answer: answerSoundly })),
    ...faultyIds.map((id) => new Runner({ id, ...place, answer: answerFaultily })),
  ];
  await fleet.configure(createConfig(1));
  await Promise.all(runners.map((runner) => runner.start()));
  await fleet.waitUntilReady();
  const clients = fleet.callerAddresses.flatMap((gateway, at) =>
    Array.from({ length: clientsPerGateway }, (_, index) => {
      const name = `gateway-${at + 1}-client-${index + 1}`;
      return new StreamClient({ name, gateway, path: "/letter/a", key: "key-a", deadlineMs: 8000, recorder });
    }),
  );
  const ended = clients.map((client) => client.run());
  await delay(contactMs);
  isWatching = true;
  const unframed = await Promise.race([
    new Promise<string>((resolve) => {
      onUnframed = resolve;
    }),
    delay(longestWaitMs, null),
  ]);
  const machine = fleet.machines.find((_, at) => unframed?.startsWith(`gateway-${at + 1}-`) === true);
  if (machine === undefined) {
    throw new Error("no answer without a length");
  }
  await delay(killAfterMs);
  if (hasTrouble) {
    await machine.gateway.kill();
    await delay(restartAfterMs);
    fleet.startGateway(machine, false);
  }
  await delay(watchedMs);
  for (const client of clients) {
    client.stop();
  }
  await Promise.all(ended);
  runners.forEach((runner) => {
    runner.stop();
  });
  const outcomes = clients.flatMap((client) => client.outcomes);
  const cut = listCutStreams(clients, eventsPerStream);
  const whole = outcomes.filter(({ events }) => events === eventsPerStream);
  recorder.note(`whole streams: ${whole.length}`);
  recorder.note(`streams that broke off visibly: ${outcomes.filter(({ isComplete }) => !isComplete).length}`);
  for (const text of cut) {
    recorder.note(text);
  }
  return cut.length === 0;
});
