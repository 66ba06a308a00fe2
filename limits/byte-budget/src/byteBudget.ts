// One budget for the bytes that a process buffers for its peers, so that their number can't make it exceed the memory of its machine.
// Bytes that can be streamed instead get less of the budget than those that have to be refused without room.

/** What bytes are buffered for. */
export enum ByteUse {
  /** Body of a request, which is refused without room. */
  RequestBody = 'request-body',
  /** Body of a response, which is streamed without room. */
  Response = 'response'
}

export interface ByteBudget {
  readonly capacityBytes: number
  heldBytes: number
}

/** The bytes that one owner buffers. */
export interface ByteAccount {
  /** Takes room for further bytes. Returns false if there is none; then nothing is taken. */
  take: (use: ByteUse, bytes: number) => boolean
  /** Returns all that was taken. Later calls have no effect, and nothing more can be taken. */
  close: () => void
}

const bytesPerMegabyte = 1_048_576
/** Buffered bytes may exist twice for a while, and a program without any takes about a third of a small machine's memory. */
const memoryRatio = 0.12
const usableRatios: Record<ByteUse, number> = {
  [ByteUse.RequestBody]: 1,
  [ByteUse.Response]: 0.5
}

/** Creates the budget of a process on a machine with the given memory. */
export function createByteBudget (memoryMegabytes: number): ByteBudget {
  return { capacityBytes: memoryMegabytes * memoryRatio * bytesPerMegabyte, heldBytes: 0 }
}

/** Opens an account without bytes. */
export function openByteAccount (budget: ByteBudget): ByteAccount {
  let takenBytes = 0
  let isClosed = false
  return {
    take: (use, bytes) => {
      if (isClosed || budget.heldBytes + bytes > budget.capacityBytes * usableRatios[use]) return false
      takenBytes += bytes
      budget.heldBytes += bytes
      return true
    },
    close: () => {
      isClosed = true
      budget.heldBytes -= takenBytes
      takenBytes = 0
    }
  }
}
