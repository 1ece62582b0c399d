import type { EndlessResponse } from "./EndlessResponse";

const blockBytes = 65_536;
const block = "x".repeat(blockBytes);
const event = "data: x\n\n";
const statusLine = "HTTP/1.1 200 OK\r\n";
const chunkedLine = "transfer-encoding: chunked\r\n";
const eventStreamLine = "content-type: text/event-stream\r\n";

const startChunks = (fields: string): string => `${statusLine}${fields}${chunkedLine}\r\n`;
const startEvents = (fields: string): string => `${statusLine}${fields}${eventStreamLine}${chunkedLine}\r\n`;
const createChunk = (payload: string): string => `${payload.length.toString(16)}\r\n${payload}\r\n`;

/** Response that repeats the text, in blocks of at least 64 KB at full speed. */
function repeat(first: EndlessResponse["first"], slow: string): EndlessResponse {
  return { first, full: slow.repeat(Math.ceil(blockBytes / slow.length)), slow };
}

/** Responses that never end, by the part that is endless. */
export const endlessResponses = {
  "no HTTP at all": repeat(() => "", "x"),
  "line ends before the head": repeat(() => "", "\r\n"),
  "a status line": repeat(() => "HTTP/1.1 200 ", "x"),
  "one header": repeat(() => `${statusLine}x-long: `, "x"),
  "header lines": repeat((fields) => statusLine + fields, "x-more: 1\r\n"),
  "provisional responses": repeat(() => "", "HTTP/1.1 100 Continue\r\n\r\n"),
  "early hints": repeat(() => "", "HTTP/1.1 103 Early Hints\r\n\r\n"),
  "a body without length": repeat((fields) => `${statusLine}${fields}\r\n`, "x"),
  "a body of a huge length": repeat(
    (fields) => `${statusLine}${fields}content-length: 900000000000\r\n\r\n`,
    "x",
  ),
  "a body in chunks": { first: startChunks, full: createChunk(block), slow: createChunk("x") },
  "a body in one chunk": repeat((fields) => `${startChunks(fields)}7fffffff\r\n`, "x"),
  "a body in chunks of one byte": repeat(startChunks, createChunk("x")),
  "chunks of one byte with status 500": repeat(
    (fields) => startChunks(fields).replace("200 OK", "500 Internal Server Error"),
    createChunk("x"),
  ),
  "a chunk size": repeat(startChunks, "0"),
  "junk in place of a chunk size": repeat(startChunks, "junk "),
  "a chunk extension": repeat((fields) => `${startChunks(fields)}1;`, "x"),
  "a chunk extension for each byte": repeat(startChunks, `1;${"e".repeat(8000)}\r\nx\r\n`),
  trailers: repeat((fields) => `${startChunks(fields)}0\r\n`, "x-more: 1\r\n"),
  "an event": { first: startEvents, full: createChunk(block), slow: createChunk("x"), isOneEvent: true },
  "an event in chunks of one byte": { ...repeat(startEvents, createChunk("x")), isOneEvent: true },
  "an event in chunks of six bytes": { ...repeat(startEvents, createChunk("xxxxxx")), isOneEvent: true },
  "short events, each in a chunk": repeat(startEvents, createChunk(event)),
  "short events in large chunks": {
    first: startEvents,
    full: createChunk(event.repeat(7000)),
    slow: createChunk(event),
  },
  "large events": { first: startEvents, full: createChunk(`data: ${block}\n\n`), slow: createChunk(event) },
} satisfies Readonly<Record<string, EndlessResponse>>;
