import type { ClientDuplexStream, ServiceError } from '@grpc/grpc-js';
import { Emitter, StoreError } from '../../src/api/index.js';
import type { StoreChange, StoreWatch } from '../../src/api/index.js';
import { endOfPrefix, startOfPrefix, toEntry } from './keys.js';
import type { WatchAnswer } from './Types.js';

/** One watch on its own stream. It ends with the stream and does not reopen itself. */
export class EtcdWatch implements StoreWatch {
  private readonly changed = new Emitter<StoreChange>();

  private readonly ended = new Emitter<Error>();

  private markSettled: () => void = () => {};

  private isOver = false;

  public readonly onChange = this.changed.event;

  public readonly onEnd = this.ended.event;

  /** Resolves when the store has confirmed the watch or the watch has ended. */
  public readonly settled: Promise<void>;

  /** @param timeout Milliseconds in which the store must confirm the watch. */
  public constructor(
    private readonly stream: ClientDuplexStream<object, WatchAnswer>,
    prefix: string,
    timeout: number,
    private readonly peer: string,
  ) {
    this.settled = new Promise((resolve) => {
      this.markSettled = resolve;
    });
    const confirmation = setTimeout(() => this.end('the store did not confirm the watch'), timeout);
    void this.settled.then(() => clearTimeout(confirmation));
    stream.on('data', (answer: WatchAnswer) => this.receive(answer));
    stream.on('error', (error: ServiceError) => this.end(error.details, error));
    stream.on('end', () => this.end('the store closed the stream'));
    const key = startOfPrefix(prefix);
    const end = endOfPrefix(Buffer.from(prefix));
    stream.write({ create_request: { key, range_end: end } });
  }

  public dispose(): void {
    if (this.isOver) return;
    this.isOver = true;
    this.markSettled();
    this.stream.cancel();
    this.changed.dispose();
    this.ended.dispose();
  }

  private receive(answer: WatchAnswer): void {
    if (this.isOver) return;
    if (answer.created) this.markSettled();
    answer.events.forEach((event) =>
      this.changed.fire({
        type: event.type === 'PUT' ? 'put' : 'delete',
        entry: toEntry(event.kv),
      }),
    );
    if (answer.canceled) this.end(answer.cancel_reason || 'the store cancelled the watch');
  }

  private end(message: string, cause?: unknown): void {
    if (this.isOver) return;
    const origin = { step: 'store.watch', peer: this.peer, cause };
    this.isOver = true;
    this.markSettled();
    this.stream.cancel();
    this.ended.fire(new StoreError(message, 'not-applied', origin));
  }
}
