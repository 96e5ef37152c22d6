import type { Disposable } from './Types.js';

/** Owns several disposables and disposes them together, last added first. */
export class DisposableStore implements Disposable {
  private items: Disposable[] = [];

  private isDisposed = false;

  /** Adds an item; one that is added after disposal is disposed at once. */
  public add<Item extends Disposable>(item: Item): Item {
    if (this.isDisposed) item.dispose();
    else this.items.push(item);
    return item;
  }

  public dispose(): void {
    this.isDisposed = true;
    const { items } = this;
    this.items = [];
    items.reverse().forEach((item) => item.dispose());
  }
}
