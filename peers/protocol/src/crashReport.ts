// Reports of server crashes between peers, and their conversion to and from protobuf.
import { create } from '@bufbuild/protobuf'
import { CrashReportSchema, type CrashReport as WireReport } from './generated/siskinbeam/peer/v1/peer_pb.js'

const maximumSuspects = 64
const maximumDeaths = 32
const maximumNameLength = 130
const maximumKeyLength = 2 * maximumNameLength

/** The end of one boot of a server, and the time since then. */
export interface ReportedDeath {
  server: string
  boot: string
  agoMilliseconds: number
}

/** Crash report of one host to another. */
export interface PeerCrashReport {
  suspects: Array<{
    fingerprint: string
    deaths: Array<ReportedDeath & { requestAgeMilliseconds: number }>
    clearedDeaths: string[]
    succeededBefore: boolean
  }>
  serverDeaths: ReportedDeath[]
}

/** Converts a report to protobuf; returns undefined for an empty one. Lists are truncated to their maximum length. */
export function packCrashReport ({ suspects, serverDeaths }: PeerCrashReport): WireReport | undefined {
  if (suspects.length === 0 && serverDeaths.length === 0) return undefined
  return create(CrashReportSchema, {
    suspects: suspects.slice(0, maximumSuspects).map(suspect => ({
      ...suspect,
      deaths: suspect.deaths.slice(0, maximumDeaths).map(({ server, boot, agoMilliseconds, requestAgeMilliseconds }) =>
        ({ server, boot, ageMilliseconds: packAge(agoMilliseconds), requestAgeMilliseconds: packAge(requestAgeMilliseconds) })),
      clearedDeaths: suspect.clearedDeaths.slice(0, maximumDeaths)
    })),
    serverDeaths: serverDeaths.slice(0, maximumDeaths).map(({ server, boot, agoMilliseconds }) => ({ server, boot, ageMilliseconds: packAge(agoMilliseconds) }))
  })
}

/** Validates and converts a received report. Throws a RangeError whose message is the name of the invalid field. */
export function unpackCrashReport (wire: WireReport | undefined): PeerCrashReport {
  if (wire === undefined) return { suspects: [], serverDeaths: [] }
  checkListLength('suspects', wire.suspects, maximumSuspects)
  checkListLength('server_deaths', wire.serverDeaths, maximumDeaths)
  return {
    suspects: wire.suspects.map(suspect => {
      checkListLength('deaths', suspect.deaths, maximumDeaths)
      checkListLength('cleared_deaths', suspect.clearedDeaths, maximumDeaths)
      return {
        fingerprint: checkTextLength('fingerprint', suspect.fingerprint, maximumNameLength),
        deaths: suspect.deaths.map(death => ({ ...unpackDeath(death), requestAgeMilliseconds: death.requestAgeMilliseconds })),
        clearedDeaths: suspect.clearedDeaths.map(key => checkTextLength('cleared_deaths', key, maximumKeyLength)),
        succeededBefore: suspect.succeededBefore
      }
    }),
    serverDeaths: wire.serverDeaths.map(unpackDeath)
  }
}

function unpackDeath ({ server, boot, ageMilliseconds }: { server: string, boot: string, ageMilliseconds: number }): ReportedDeath {
  return { server: checkTextLength('server', server, maximumNameLength), boot: checkTextLength('boot', boot, maximumNameLength), agoMilliseconds: ageMilliseconds }
}

function packAge (milliseconds: number): number {
  return Math.min(Math.max(Math.round(milliseconds), 0), 0xffff_ffff)
}

function checkListLength (field: string, list: unknown[], maximumLength: number): void {
  if (list.length > maximumLength) throw new RangeError(field)
}

function checkTextLength (field: string, text: string, maximumLength: number): string {
  if (text.length > maximumLength) throw new RangeError(field)
  return text
}
