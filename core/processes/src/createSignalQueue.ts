// Receives the signals of a process from its first statement on. A signal without a listener would end the process, and one that comes
// before the program can handle it is kept until then. Signals during the startup of Node.js itself, before any statement, are not covered.

/** Signals that a program handles. Node.js ignores SIGPIPE itself. */
export type HandledSignal = 'SIGTERM' | 'SIGINT' | 'SIGHUP' | 'SIGUSR1' | 'SIGUSR2'

/** The events of Node.js's `process` that are observed. */
export interface SignalSource {
  on: (event: HandledSignal, listener: () => void) => unknown
}

export type SignalHandlers = Record<HandledSignal, (signal: HandledSignal) => void>

export interface SignalQueue {
  /** Handles the signals received so far, in their order, and all later ones. Replaces earlier handlers. */
  handle: (handlers: SignalHandlers) => void
}

const handledSignals: HandledSignal[] = ['SIGTERM', 'SIGINT', 'SIGHUP', 'SIGUSR1', 'SIGUSR2']

/** Starts to receive signals. Each signal that waits for its handler is kept once. */
export function createSignalQueue (source: SignalSource): SignalQueue {
  const waiting = new Set<HandledSignal>()
  let receive = (signal: HandledSignal): void => { waiting.add(signal) }
  handledSignals.forEach(signal => source.on(signal, () => receive(signal)))
  return {
    handle: handlers => {
      receive = signal => handlers[signal](signal)
      const received = [...waiting]
      waiting.clear()
      received.forEach(receive)
    }
  }
}
