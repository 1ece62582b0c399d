import type { IncomingMessage } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { Runner } from "../lib/Runner";
import { StreamClient } from "../lib/StreamClient";
import { answerStream } from "../lib/answerStream";
import { createConfig } from "../lib/createConfig";
import { listCutStreams } from "../lib/listCutStreams";
import { runCase } from "../lib/runCase";

const soundIds: readonly string[] = ["i-1", "i-2", "i-3"];
/** Half of the runners break off one in 50 of their answers. */
const faultyIds: readonly string[] = ["i-4", "i-5", "i-6"];
const answersPerBroken = 50;
const events = 24;
/** Four tokens of 4.55 ms. */
const eventMs = 18;
const resetAfter = 8;
const clientsPerGateway = 8;
const contactMs = 3500;
const watchedMs = 50_000;
const directRequests = 20;
/** One cut stream may be the fault of the stand-in, of whose own resets the kernel shows one in some hundred as an end. */
const allowedCuts = 1;

await runCase(async ({ fleet, recorder, hasTrouble }) => {
  let answers = 0;
  let broken = 0;
  let isTroubled = false;
  const answerSoundly = (request: IncomingMessage): boolean => {
    answerStream(request, { events, eventMs, isFramed: true, resetAfter: null });
    return true;
  };
  const answerFaultily = (request: IncomingMessage): boolean => {
    const attempt = String(request.headers["attempt-id"]);
    if (attempt.startsWith("direct-")) {
      answerStream(request, { events, eventMs, isFramed: false, resetAfter });
      return true;
    }
    answers += isTroubled ? 1 : 0;
    if (!isTroubled || answers % answersPerBroken !== 0) {
      return answerSoundly(request);
    }
    broken += 1;
    recorder.note(
      `the answer to ${attempt} has no length${hasTrouble ? `, and is reset after ${resetAfter} events` : ""}`,
    );
    answerStream(request, { events, eventMs, isFramed: false, resetAfter: hasTrouble ? resetAfter : null });
    return true;
  };
  const place = { service: "stock", workMs: 10, control: fleet.controlAddresses, recorder };
  const faulty = faultyIds.map((id) => new Runner({ id, ...place, answer: answerFaultily }));
  const runners = [...soundIds.map((id) => new Runner({ id, ...place, answer: answerSoundly })), ...faulty];
  await fleet.configure(createConfig(1));
  await Promise.all(runners.map((runner) => runner.start()));
  await fleet.waitUntilReady();
  // What a client sees of such a reset without a gateway.
  const options = { path: "/note/a", key: "key-a", deadlineMs: 8000, recorder };
  const directs = faulty.map((runner) => {
    return new StreamClient({
      name: `direct-${runner.id}`,
      gateway: runner.place,
      runner: runner.id,
      ...options,
    });
  });
  await Promise.all(directs.map((client) => client.run(directRequests)));
  const cutDirectly = listCutStreams(directs, events).length;
  recorder.note(
    `without a gateway: ${cutDirectly} of ${directs.length * directRequests} resets looked like an end`,
  );
  const clients = fleet.callerAddresses.flatMap((gateway, at) =>
    Array.from({ length: clientsPerGateway }, (_, index) => {
      const name = `gateway-${at + 1}-client-${index + 1}`;
      return new StreamClient({ name, gateway, ...options });
    }),
  );
  const ended = clients.map((client) => client.run());
  await delay(contactMs);
  isTroubled = true;
  await delay(watchedMs);
  isTroubled = false;
  for (const client of clients) {
    client.stop();
  }
  await Promise.all(ended);
  runners.forEach((runner) => {
    runner.stop();
  });
  const cut = listCutStreams(clients, events);
  recorder.note(`answers without a length: ${broken}`);
  for (const text of cut) {
    recorder.note(text);
  }
  return cut.length <= allowedCuts;
});
