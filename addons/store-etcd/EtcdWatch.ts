import type { ClientDuplexStream, ServiceError } from '@grpc/grpc-js';
import { Emitter, StoreError } from '../../src/api/index.js';
import type { StoreChange, StoreWatch } from '../../src/api/index.js';
import { endOfPrefix, startOfPrefix, toEntry } from './keys.js';
import type { WatchResponse } from './Types.js';

/** One watch on its own stream. Ends with the stream and does not reconnect. */
export class EtcdWatch implements StoreWatch {
  private readonly changed = new Emitter<StoreChange>();

  private readonly ended = new Emitter<Error>();

  private markSettled: () => void = () => {};

  private isEnded = false;

  public readonly onChange = this.changed.event;

  public readonly onEnd = this.ended.event;

  /** Resolves when the store has confirmed the watch or the watch has ended. */
  public readonly settled: Promise<void>;

  /** @param confirmationTimeout Milliseconds within which the store must confirm the watch. */
  public constructor(
    private readonly stream: ClientDuplexStream<object, WatchResponse>,
    prefix: string,
    confirmationTimeout: number,
    private readonly peer: string,
  ) {
    this.settled = new Promise((resolve) => {
      this.markSettled = resolve;
    });
    const confirmationTimer = setTimeout(
      () => this.end('the store did not confirm the watch in time'),
      confirmationTimeout,
    );
    void this.settled.then(() => clearTimeout(confirmationTimer));
    stream.on('data', (response: WatchResponse) => this.handleResponse(response));
    stream.on('error', (error: ServiceError) => this.end(error.details, error));
    stream.on('end', () => this.end('the store closed the stream'));
    const key = startOfPrefix(prefix);
    const end = endOfPrefix(Buffer.from(prefix));
    stream.write({ create_request: { key, range_end: end } });
  }

  public dispose(): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.markSettled();
    this.stream.cancel();
    this.changed.dispose();
    this.ended.dispose();
  }

  private handleResponse(response: WatchResponse): void {
    if (this.isEnded) return;
    if (response.created) this.markSettled();
    response.events.forEach((event) =>
      this.changed.fire({
        type: event.type === 'PUT' ? 'put' : 'delete',
        entry: toEntry(event.kv),
      }),
    );
    if (response.canceled) this.end(response.cancel_reason || 'the store cancelled the watch');
  }

  private end(message: string, cause?: unknown): void {
    if (this.isEnded) return;
    const origin = { step: 'store.watch', peer: this.peer, cause };
    this.isEnded = true;
    this.markSettled();
    this.stream.cancel();
    this.ended.fire(new StoreError(message, 'not-applied', origin));
  }
}
