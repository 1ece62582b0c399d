import type { Server } from "node:net";

/**
 * A round of the event loop may accept only one connection, and a queue holds at most 1024. The limit keeps
 * callers who go on connecting from postponing a stop.
 */
const maxRounds = 1100;
/**
 * Rounds without a connection after which the queue counts as empty. The first round runs without a look at the queue if
 * this is called from a handler of a socket, and a connection may enter the queue after its client knows it as open.
 */
const quietRounds = 4;

/**
 * Resolves when a server has accepted the connections that wait in its queue and has read their sockets once.
 * The system resets the connections that are still in the queue when a server stops listening, and their
 * callers cannot tell whether a request has run.
 */
export async function acceptPending(server: Server): Promise<void> {
  let accepted = 0;
  const count = (): void => {
    accepted += 1;
  };
  server.on("connection", count);
  let quiet = 0;
  for (let round = 0; round < maxRounds && quiet < quietRounds; round += 1) {
    const before = accepted;
    // The event loop accepts connections and reads sockets before it runs this.
    await new Promise((resolve) => setImmediate(resolve));
    quiet = accepted === before ? quiet + 1 : 0;
  }
  server.off("connection", count);
}
