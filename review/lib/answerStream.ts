import type { IncomingMessage } from "node:http";
import { resetSocket } from "./resetSocket";

interface StreamAnswer {
  readonly events: number;
  readonly eventMs: number;
  /** Whether the stream has chunks; one without ends with its connection. */
  readonly isFramed: boolean;
  /** Events after which the runner resets the connection; null for a whole stream. */
  readonly resetAfter: number | null;
}

/** Answers a request with a signed stream of events. */
export function answerStream({ socket, headers }: IncomingMessage, answer: StreamAnswer): void {
  const { events, eventMs, isFramed, resetAfter } = answer;
  const attempt = String(headers["attempt-id"]);
  socket.setNoDelay(true);
  socket.on("error", () => undefined);
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
    if (event === resetAfter) {
      clearInterval(timer);
      resetSocket(socket);
      return;
    }
    event += 1;
    const bytes = `id: ${event}\ndata: piece ${event} of ${events}\n\n`;
    socket.write(isFramed ? `${bytes.length.toString(16)}\r\n${bytes}\r\n` : bytes);
    if (event === events) {
      clearInterval(timer);
      socket.end(isFramed ? "0\r\n\r\n" : "");
    }
  }, eventMs);
  socket.on("close", () => {
    clearInterval(timer);
  });
}
