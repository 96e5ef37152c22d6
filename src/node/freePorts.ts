import { once } from 'node:events';
import { createServer, type Server } from 'node:net';
import { listen } from './listen.js';

/** Ports below those that the operating system gives to outgoing connections, which could take one meanwhile. */
const lowestPort = 10_000;
const highestPort = 30_000;

function isTaken(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'EADDRINUSE';
}

/** Processes that search at the same time begin at different ports. */
let nextPort = lowestPort + Math.floor(Math.random() * (highestPort - lowestPort));

/** Each port once: those given out before may not be bound yet. */
function takePort(): number {
  const port = nextPort;
  nextPort = port + 1 < highestPort ? port + 1 : lowestPort;
  return port;
}

async function bind(server: Server): Promise<number> {
  for (let tries = lowestPort; tries < highestPort; tries += 1) {
    try {
      return await listen(server, `127.0.0.1:${takePort()}`);
    } catch (error) {
      if (!isTaken(error)) throw error;
    }
  }
  throw new Error(`no free port from ${lowestPort} to ${highestPort}`);
}

/** Finds `count` free ports on loopback. */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) ports.push(await bind(server));
  await Promise.all(
    servers.map(async (server) => {
      server.close();
      await once(server, 'close');
    }),
  );
  return ports;
}
