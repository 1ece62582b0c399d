import type { IncomingMessage } from "node:http";
import { Runner } from "../lib/Runner";
import { createConfig } from "../lib/createConfig";
import { playLoss } from "../lib/playLoss";
import { runCase } from "../lib/runCase";

/** Every 50th answer is spoiled: 2 in 100. */
const answersPerSpoiled = 50;
const soundIds: readonly string[] = ["i-1", "i-2", "i-3"];
const faultyIds: readonly string[] = ["i-4", "i-5", "i-6"];

/** An ordinary answer with one wrong byte: the hyphen of "Content-Type" has become a space. */
function createSpoiledAnswer(attempt: string): string {
  return (
    "HTTP/1.1 200 OK\r\n" +
    "Content Type: text/plain\r\n" +
    `Attempt-Id: ${attempt}\r\n` +
    `Response-Stamp: stamp-${attempt}\r\n` +
    "Content-Length: 3\r\n\r\nok\n"
  );
}

await runCase(async ({ fleet, recorder, hasTrouble }) => {
  let isTroubled = false;
  let answers = 0;
  const answer = (request: IncomingMessage): boolean => {
    answers += isTroubled ? 1 : 0;
    if (!isTroubled || answers % answersPerSpoiled !== 0) {
      return false;
    }
    const attempt = String(request.headers["attempt-id"]);
    recorder.note(`a faulty runner spoils a byte of its answer to ${attempt}`);
    request.socket.end(createSpoiledAnswer(attempt));
    return true;
  };
  const place = { service: "stock", workMs: 300, control: fleet.controlAddresses, recorder };
  const sound = soundIds.map((id) => new Runner({ id, ...place }));
  const faulty = faultyIds.map((id) => new Runner({ id, ...place, answer }));
  await fleet.configure(createConfig(1));
  await Promise.all([...sound, ...faulty].map((runner) => runner.start()));
  await fleet.waitUntilReady();
  const disturb = (): Promise<void> => {
    isTroubled = hasTrouble;
    return Promise.resolve();
  };
  const isKept = await playLoss({ fleet, recorder, soundRunners: sound, disturb });
  [...sound, ...faulty].forEach((runner) => {
    runner.stop();
  });
  return isKept;
});
