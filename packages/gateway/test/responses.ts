/** Raw responses of scripted targets. */
export const responses = {
  whole: (id: string, body: string, status = "200 OK") =>
    `HTTP/1.1 ${status}\r\nx-id: ${id}\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
  notRun: (id: string) =>
    `HTTP/1.1 503 Service Unavailable\r\nx-id: ${id}\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n`,
  streamHead: (id: string) =>
    `HTTP/1.1 200 OK\r\nx-id: ${id}\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n`,
  chunk: (text: string) => `${text.length.toString(16)}\r\n${text}\r\n`,
  event: (id: number) => `id: ${id}\ndata: e${id}\n\n`,
  streamEnd: "0\r\n\r\n",
};
