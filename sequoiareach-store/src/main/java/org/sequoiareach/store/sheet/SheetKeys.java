package org.sequoiareach.store.sheet;

/** Builds the storage keys of the sheet. */
final class SheetKeys {

  static final String MANIFEST = "/sequoiareach/sheet/manifest";
  static final String HISTORY = "/sequoiareach/sheet/history";
  private static final String SECTION_PREFIX = "/sequoiareach/sheet/section/";

  private SheetKeys() {}

  static String section(String digest) {
    return SECTION_PREFIX + digest;
  }

  static String digestOf(String sectionKey) {
    return sectionKey.substring(SECTION_PREFIX.length());
  }
}
