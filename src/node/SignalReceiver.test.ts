import { EventEmitter } from 'node:events';
import { expect } from 'chai';
import { SignalReceiver } from './SignalReceiver.js';

describe('SignalReceiver', () => {
  it('keeps its listeners after a signal, so that a repeated one does not end the process', async () => {
    const source = new EventEmitter();
    const receiver = new SignalReceiver(source, ['SIGTERM', 'SIGINT']);
    let count = 0;
    receiver.onSignal(() => {
      count += 1;
    });
    source.emit('SIGTERM');
    source.emit('SIGTERM');
    source.emit('SIGINT');
    await receiver.received;
    expect(count).to.equal(3);
    expect(source.listenerCount('SIGTERM')).to.equal(1);
    expect(source.listenerCount('SIGINT')).to.equal(1);
  });

  it('leaves the signals to their default actions when it is disposed', () => {
    const source = new EventEmitter();
    new SignalReceiver(source, ['SIGTERM', 'SIGHUP']).dispose();
    expect(source.eventNames()).to.deep.equal([]);
  });
});
