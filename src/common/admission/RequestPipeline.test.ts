import { expect } from 'chai';
import { RequestPipeline } from './RequestPipeline.js';

/** Adds requests that wait for their turn: lower case is idempotent, upper case is not. */
function create(requests: string, maxOpen = 3): RequestPipeline<string> {
  const pipeline = new RequestPipeline<string>(maxOpen);
  [...requests].forEach((request) => {
    pipeline.add(request);
    pipeline.wait(request, request === request.toLowerCase());
  });
  return pipeline;
}

describe('RequestPipeline', () => {
  const starts = [
    { name: 'idempotent requests side by side', requests: 'ab', started: 'ab' },
    { name: 'no more than the limit', requests: 'abcdef', started: 'abc' },
    { name: 'a request that must run alone, if it is the first', requests: 'Ab', started: 'A' },
    { name: 'no request that must run alone behind others', requests: 'aBc', started: 'a' },
    { name: 'one of two that must run alone', requests: 'AB', started: 'A' },
  ];
  starts.forEach(({ name, requests, started }) => {
    it(`starts ${name}`, () => {
      expect(create(requests).startNext().join('')).to.equal(started);
    });
  });

  const sequences = [
    { name: 'a waiting request for each response sent', requests: 'abcd', done: 'b', next: 'd' },
    {
      name: 'a request that must run alone after the others',
      requests: 'aB',
      done: 'a',
      next: 'B',
    },
    {
      name: 'nothing while a request that runs alone is open',
      requests: 'Abc',
      done: '',
      next: '',
    },
    { name: 'those behind a request that ran alone', requests: 'Abc', done: 'A', next: 'bc' },
    { name: 'nothing for a request that is not there', requests: 'abcd', done: 'x', next: '' },
  ];
  sequences.forEach(({ name, requests, done, next }) => {
    it(`then starts ${name}`, () => {
      const pipeline = create(requests);
      pipeline.startNext();
      pipeline.remove(done);
      expect(pipeline.startNext().join('')).to.equal(next);
    });
  });

  it('drops what was sent behind the final request, before and after it was named', () => {
    const pipeline = create('abcd', 2);
    pipeline.startNext();
    expect(pipeline.closeAfter('b')).to.deep.equal(['c', 'd']);
    expect(pipeline.add('e')).to.equal(false);
    pipeline.remove('a');
    pipeline.remove('b');
    expect(pipeline.add('f')).to.equal(false);
    expect(pipeline.startNext()).to.deep.equal([]);
    expect(pipeline.waitingCount).to.equal(0);
  });

  it('takes nothing behind a final request whose response is already sent', () => {
    const pipeline = create('ab');
    pipeline.startNext();
    pipeline.remove('a');
    expect(pipeline.closeAfter('a')).to.deep.equal(['b']);
    expect(pipeline.add('c')).to.equal(false);
  });
});
