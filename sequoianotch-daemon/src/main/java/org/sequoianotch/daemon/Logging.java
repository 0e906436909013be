package org.sequoianotch.daemon;

import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.api.LayoutComponentBuilder;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;
import org.sequoianotch.settings.NodeSetting;
import org.sequoianotch.settings.NodeSettings;

/** Sets up Log4j from the settings. This class is stateless. */
final class Logging {
    private static final String TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5p %m%n%xEx";

    private Logging() {}

    static void configure(NodeSettings settings) {
        ConfigurationBuilder<BuiltConfiguration> builder = ConfigurationBuilderFactory.newConfigurationBuilder();
        builder.setShutdownHook("disable");
        LayoutComponentBuilder layout = settings.text(NodeSetting.LOG_LAYOUT).equals("json")
                ? builder.newLayout("JsonTemplateLayout").addAttribute("eventTemplateUri", "classpath:EcsLayout.json")
                : builder.newLayout("PatternLayout").addAttribute("pattern", TEXT_PATTERN);
        AppenderComponentBuilder console = builder.newAppender("console", "Console")
                .addAttribute("target", ConsoleAppender.Target.SYSTEM_ERR)
                .add(layout);
        builder.add(console);
        Level level = Level.valueOf(settings.text(NodeSetting.LOG_LEVEL));
        builder.add(builder.newRootLogger(Level.WARN).add(builder.newAppenderRef("console")));
        builder.add(builder.newLogger("org.sequoianotch", level)
                .addAttribute("additivity", false)
                .add(builder.newAppenderRef("console")));
        Configurator.reconfigure(builder.build());
    }
}
