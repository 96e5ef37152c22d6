import { Emitter } from '../common/base/Emitter.js';
import type { Disposable } from '../common/base/Types.js';

/** Part of `process` that reports signals. */
export interface SignalSource {
  on(signal: NodeJS.Signals, listener: () => void): unknown;
  off(signal: NodeJS.Signals, listener: () => void): unknown;
}

/**
 * Receives signals until disposed. Signals come in series, so a repeated one is received as well: without a listener,
 * the default action of most signals ends the process and cuts its requests in flight.
 */
export class SignalReceiver implements Disposable {
  private readonly emitter = new Emitter<void>();

  /** Fires at each of the signals. */
  public readonly onSignal = this.emitter.event;

  /** Resolves at the first of the signals, also if it has arrived before the call. */
  public readonly received: Promise<void>;

  private readonly listener = (): void => this.emitter.fire();

  public constructor(
    private readonly source: SignalSource,
    private readonly signals: readonly NodeJS.Signals[],
  ) {
    this.received = new Promise((resolve) => {
      this.onSignal(() => resolve());
    });
    signals.forEach((signal) => source.on(signal, this.listener));
  }

  public dispose(): void {
    this.signals.forEach((signal) => this.source.off(signal, this.listener));
    this.emitter.dispose();
  }
}
