import { connect } from "node:net";

/** Sends raw bytes, one for each character, over a connection of its own; resolves with all that came back when it has closed. */
export function sendRaw(port: number, bytes: string, host = "127.0.0.1"): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, host);
    let text = "";
    socket.on("data", (chunk) => (text += chunk.toString()));
    socket.on("error", () => undefined);
    socket.on("close", () => {
      resolve(text);
    });
    socket.write(Buffer.from(bytes, "latin1"));
  });
}
