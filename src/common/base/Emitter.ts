import type { Disposable, Event } from './Types.js';

/** Calls its listeners in the order of subscription. */
export class Emitter<Payload> implements Disposable {
  private listeners: ((payload: Payload) => void)[] = [];

  /** Subscribes a listener. */
  public readonly event: Event<Payload> = (listener) => {
    this.listeners = [...this.listeners, listener];
    return {
      dispose: () => {
        this.listeners = this.listeners.filter((other) => other !== listener);
      },
    };
  };

  /** Calls all current listeners. */
  public fire(payload: Payload): void {
    this.listeners.forEach((listener) => listener(payload));
  }

  public dispose(): void {
    this.listeners = [];
  }
}
