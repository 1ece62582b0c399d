import type { IncomingMessage } from "node:http";
import { setTimeout as delay } from "node:timers/promises";
import { Runner } from "../lib/Runner";
import { StreamClient } from "../lib/StreamClient";
import { createConfig } from "../lib/createConfig";
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

/** Answers with a stream of 24 events: in chunks, or without a length, so that it ends with its connection. */
function answerStream({ socket, headers }: IncomingMessage, isFramed: boolean): void {
  const attempt = String(headers["attempt-id"]);
  socket.write(
    "HTTP/1.1 200 OK\r\n" +
      `Attempt-Id: ${attempt}\r\n` +
      `Response-Stamp: stamp-${attempt}\r\n` +
      "Content-Type: text/event-stream\r\n" +
      (isFramed ? "Transfer-Encoding: chunked\r\n" : "") +
      "Connection: close\r\n\r\n",
  );
  let event = 0;
  const timer = setInterval(() => {
    event += 1;
    const bytes = `id: ${event}\ndata: piece ${event} of ${eventsPerStream}\n\n`;
    socket.write(isFramed ? `${bytes.length.toString(16)}\r\n${bytes}\r\n` : bytes);
    if (event === eventsPerStream) {
      clearInterval(timer);
      socket.end(isFramed ? "0\r\n\r\n" : "");
    }
  }, eventMs);
  socket.on("close", () => {
    clearInterval(timer);
  });
  socket.on("error", () => undefined);
}

await runCase(async ({ fleet, recorder, hasTrouble }) => {
  let answers = 0;
  let isWatching = false;
  let onUnframed: (request: string) => void = () => undefined;
  const answerSoundly = (request: IncomingMessage): boolean => {
    answerStream(request, true);
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
    answerStream(request, isFramed);
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
  const short = outcomes.filter(({ status, isSigned, isComplete, events }) => {
    return status === 200 && isSigned && isComplete && events < eventsPerStream;
  });
  const whole = outcomes.filter(({ events }) => events === eventsPerStream);
  recorder.note(`whole streams: ${whole.length}`);
  recorder.note(`streams that broke off visibly: ${outcomes.filter(({ isComplete }) => !isComplete).length}`);
  for (const { request, events } of short) {
    recorder.note(`${request} ended as complete after ${events} of ${eventsPerStream} events`);
  }
  return short.length === 0;
});
