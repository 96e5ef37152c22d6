/* global URL, Buffer, setTimeout, clearTimeout, setInterval, clearInterval */
/** Stand-in for the platform's metadata store, as PROTOCOL.md describes it. */
import { createServer } from 'node:http';
import { text } from 'node:stream/consumers';

const pageItems = 500;

export class Store {
  items = new Map();

  events = [];

  revision = 100;

  leases = new Map();

  nextLease = 1000;

  waiting = new Set();

  server = createServer((request, response) => {
    this.handle(request, response).catch(() => response.destroy());
  });

  async listen(host, port) {
    this.address = `${host}:${port}`;
    await new Promise((resolve) => {
      this.server.listen(port, host, resolve);
    });
    this.timer = setInterval(() => this.expireLeases(), 100);
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a value of the operator; returns the revision, which is the acknowledgement. */
  putValue(key, value) {
    this.set(key, Buffer.from(value).toString('base64'), 0);
    this.notify();
    return this.revision;
  }

  set(key, value, lease) {
    this.revision += 1;
    const created = this.items.get(key)?.created ?? this.revision;
    const item = { key, value, revision: this.revision, created, lease };
    this.items.set(key, item);
    this.events.push(item);
  }

  delete(key) {
    if (!this.items.delete(key)) return;
    this.revision += 1;
    this.events.push({ key, revision: this.revision, deleted: true });
  }

  notify() {
    [...this.waiting].forEach(({ check }) => check());
  }

  expireLeases() {
    const time = Date.now();
    [...this.leases].filter(([, { until }]) => until < time).forEach(([id]) => this.endLease(id));
  }

  endLease(id) {
    this.leases.delete(id);
    [...this.items.values()]
      .filter(({ lease }) => lease === id)
      .forEach(({ key }) => this.delete(key));
    this.notify();
  }

  async handle(request, response) {
    const body = await text(request);
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const [status, value] = await this.answer(`${request.method} ${pathname}`, {
      pathname,
      query: searchParams,
      body: body === '' ? {} : JSON.parse(body),
      response,
    });
    if (response.destroyed) return;
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(value));
  }

  answer(call, { pathname, query, body, response }) {
    if (call === 'GET /limpettrack/kv-key') {
      const item = this.items.get(query.get('key'));
      return item === undefined
        ? [404, { 'as-of': this.revision }]
        : [200, { ...item, 'as-of': this.revision }];
    }
    if (call === 'GET /limpettrack/kv-range') return this.range(query);
    if (call === 'GET /limpettrack/kv-watch') return this.watch(query, response);
    if (call === 'POST /limpettrack/kv-txn') return this.transact(body);
    if (call === 'POST /limpettrack/kv-lease') {
      const ttl = Math.max(1_000, parseInt(body.ttl_time, 10));
      this.nextLease += 1;
      this.leases.set(this.nextLease, { ttl, until: Date.now() + ttl });
      return [200, { lease: this.nextLease, ttl_time: `${ttl}ms` }];
    }
    const [, action, id] = /^\/limpettrack\/kv-(keep|lease-end)\/(\d+)$/.exec(pathname) ?? [];
    const lease = this.leases.get(Number(id));
    if (action === undefined || lease === undefined) return [404, {}];
    if (action === 'keep') lease.until = Date.now() + lease.ttl;
    else this.endLease(Number(id));
    return [200, { ttl_time: `${lease.ttl}ms` }];
  }

  range(query) {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...this.items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((one, other) => (one.key < other.key ? -1 : 1));
    const items = found.slice(0, pageItems);
    return [200, { items, 'has-more': found.length > items.length, 'as-of': this.revision }];
  }

  watch(query, response) {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after'));
    const wait = Math.min(30_000, Number(query.get('wait-ms')));
    const find = () =>
      this.events.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    return new Promise((resolve) => {
      const poll = { timer: undefined, check: () => {} };
      const finish = () => {
        clearTimeout(poll.timer);
        this.waiting.delete(poll);
        resolve([200, { events: find(), 'as-of': this.revision }]);
      };
      poll.check = () => {
        if (find().length > 0) finish();
      };
      this.waiting.add(poll);
      poll.timer = setTimeout(finish, wait);
      response.once('close', finish);
      poll.check();
    });
  }

  transact({ 'expected-revision': rows = [], 'set-keys': puts = [], remove = [] }) {
    const differs = rows.some(({ key, revision }) => {
      const current = this.items.get(key)?.revision ?? 0;
      return current !== revision;
    });
    if (differs) return [412, { items: rows.flatMap(({ key }) => this.items.get(key) ?? []) }];
    if (puts.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease))) return [404, {}];
    puts.forEach(({ key, value, lease = 0 }) => this.set(key, value, lease));
    remove.forEach((key) => this.delete(key));
    this.notify();
    return [200, { revision: this.revision }];
  }
}
