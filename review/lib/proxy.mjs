/* eslint-disable max-classes-per-file */
/* global setTimeout, performance */
/** Proxies that delay, throttle and silence connections. */
import { connect, createServer } from 'node:net';

/** A link with a delay and a bandwidth for each direction, shared by all connections over it. */
export class Link {
  freeAt = new Map();

  constructor({ delay, bytesPerMs }) {
    Object.assign(this, { delay, bytesPerMs });
  }

  /** Milliseconds until `bytes` that are sent now have passed the link in this direction. */
  pass(direction, bytes) {
    const time = performance.now();
    const free = Math.max(time, this.freeAt.get(direction) ?? 0) + bytes / this.bytesPerMs;
    this.freeAt.set(direction, free);
    return { sent: free - time, arrived: free - time + this.delay };
  }
}

/** Proxy in front of one address. */
export class Proxy {
  connections = new Set();

  server = createServer((client) => this.accept(client));

  constructor(upstream, link) {
    Object.assign(this, { upstream, link });
  }

  async listen(host, port) {
    this.address = `${host}:${port}`;
    await new Promise((resolve) => {
      this.server.listen(port, host, resolve);
    });
  }

  /** Discards all further bytes and ends of the open connections, without a reset; returns how many there are. */
  silence() {
    this.connections.forEach((connection) => {
      connection.isSilent = true;
    });
    return this.connections.size;
  }

  /** Like `silence`, and new connections get no answer either, as when the machine behind has no power. */
  darken() {
    this.isDark = true;
    return this.silence();
  }

  close() {
    this.server.close();
    this.connections.forEach(({ client, upstream }) => {
      client.destroy();
      upstream.destroy();
    });
  }

  accept(client) {
    if (this.isDark) {
      client.on('data', () => {});
      client.on('error', () => {});
      this.connections.add({ client, upstream: client, isSilent: true });
      return;
    }
    const [host, port] = this.upstream.split(':');
    const upstream = connect(Number(port), host);
    const connection = { client, upstream, isSilent: false };
    this.connections.add(connection);
    this.forward(connection, client, upstream, 'there');
    this.forward(connection, upstream, client, 'back');
    const close = () => {
      if (connection.isSilent) return;
      this.connections.delete(connection);
      client.destroy();
      upstream.destroy();
    };
    [client, upstream].forEach((socket) => {
      socket.setNoDelay(true);
      socket.on('error', close);
      socket.on('close', close);
    });
  }

  forward(connection, from, to, direction) {
    from.on('data', (chunk) => {
      if (connection.isSilent) return;
      const { sent, arrived } = this.link.pass(direction, chunk.length);
      from.pause();
      setTimeout(() => from.resume(), sent);
      setTimeout(() => {
        if (!connection.isSilent && to.writable) to.write(chunk);
      }, arrived);
    });
  }
}
