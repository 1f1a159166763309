package org.oakwalk.core.job;

/** Urgency of a job, lowest first. */
public enum Priority {
  LOW,
  NORMAL,
  HIGH,
  PRODUCTION
}
